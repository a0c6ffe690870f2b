"""Durable term and vote of a member."""

from shallotgate.errors import InvariantError
from shallotgate.invariants import check
from shallotgate.storage import DataFolder, StoredVote


class VoteState:
    """Current term and vote of this member.

    Only the worker thread changes them.
    """

    def __init__(self, folder: DataFolder) -> None:
        self._folder = folder
        self._vote = StoredVote(0, '')
        self._known_leader = (0, '')

    @property
    def term(self) -> int:
        """Latest term that this member has stored."""
        return self._vote.term

    @property
    def voted_for(self) -> str:
        """Identity of the candidate voted for in this term; empty if none."""
        return self._vote.voted

    def load(self) -> None:
        """Read the stored term and vote."""
        self._vote = self._folder.read_vote()

    def store(self, term: int, voted: str) -> None:
        """Store term and vote durably before they take effect.

        Raises ``InvariantError`` if the term would decrease or the vote of
        the current term would change.
        """
        is_allowed = check(
            term >= self.term,
            'term never goes back',
            term=term,
            current=self.term,
        ) and check(
            term > self.term or not self.voted_for,
            'a vote is never changed',
            term=term,
            voted=(self.voted_for, voted),
        )
        if not is_allowed:
            raise InvariantError(
                f'vote in term {term} not allowed after {self._vote}'
            )
        vote = StoredVote(term, voted)
        self._folder.write_vote(vote)
        self._vote = vote

    def record_leader(self, term: int, identity: str) -> bool:
        """Record the leader of a term; returns False if it had another."""
        known_term, known_identity = self._known_leader
        self._known_leader = (term, identity)
        return check(
            term != known_term or identity == known_identity,
            'a term has one leader',
            term=term,
            leaders=(known_identity, identity),
        )
