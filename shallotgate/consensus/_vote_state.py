"""Stored term and vote."""

from shallotgate.errors import InvariantError
from shallotgate.invariants import check
from shallotgate.storage import DataFolder, StoredVote


class Ballot:
    """Term and vote of this member; changed by the worker only."""

    def __init__(self, folder: DataFolder) -> None:
        self._folder = folder
        self._vote = StoredVote(0, '')
        self._seen_leader = (0, '')

    @property
    def term(self) -> int:
        """Current term."""
        return self._vote.term

    @property
    def voted(self) -> str:
        """Identity voted for in the current term; empty if none."""
        return self._vote.voted

    def load(self) -> None:
        """Read the stored vote."""
        self._vote = self._folder.read_vote()

    def store(self, term: int, voted: str) -> None:
        """Store term and vote durably, then use them.

        Raises ``InvariantError`` if term or vote would go back.
        """
        is_allowed = check(
            term >= self.term,
            'term never goes back',
            term=term,
            current=self.term,
        ) and check(
            term > self.term or not self.voted,
            'a vote is never changed',
            term=term,
            voted=(self.voted, voted),
        )
        if not is_allowed:
            raise InvariantError(f'vote in term {term} after {self._vote}')
        vote = StoredVote(term, voted)
        self._folder.write_vote(vote)
        self._vote = vote

    def note_leader(self, term: int, identity: str) -> bool:
        """Check that a term has one leader."""
        seen_term, seen_identity = self._seen_leader
        self._seen_leader = (term, identity)
        return check(
            term != seen_term or identity == seen_identity,
            'a term has one leader',
            term=term,
            leaders=(seen_identity, identity),
        )
