"""State of a member that its parts share."""

import threading
import time
from collections.abc import Callable

from shallotgate.consensus._journal import Journal
from shallotgate.consensus._leadership import Leadership, Proposal
from shallotgate.consensus._notifier import LeadershipNotifier
from shallotgate.consensus._options import ConsensusOptions
from shallotgate.consensus._vote_state import Ballot
from shallotgate.consensus._worker import Worker
from shallotgate.errors import NotLeaderError
from shallotgate.invariants import check
from shallotgate.logs import get_logger
from shallotgate.storage import DataFolder, Snapshot
from shallotgate.transport import Mailbox

_LOGGER = get_logger('consensus')


class Core:
    """Term, vote, log, commit index and role of this member.

    Only the worker thread changes term, log and role, so it reads them
    without a lock. All other threads hold ``changed``, which is notified
    after each change. Handlers on the mailbox thread take no lock, because
    the worker may hold it while it replaces the log.
    """

    def __init__(
        self,
        instance: str,
        mailbox: Mailbox,
        folder: DataFolder,
        options: ConsensusOptions,
    ) -> None:
        self.instance = instance
        self.mailbox = mailbox
        self.options = options
        self.folder = folder
        self.journal = Journal(folder)
        self.ballot = Ballot(folder)
        self.worker = Worker()
        self.changed = threading.Condition()
        self.leader: str | None = None
        self.leadership: Leadership | None = None
        self.applied = 0
        # Proposals written to the log and not applied yet, by index.
        self.proposals: dict[int, Proposal] = {}
        # Monotonic time of the last message from a leader. The start counts
        # as one: before it this member may have extended a leader's lease.
        self.heard_at = options.no_leader_contact_since or time.monotonic()
        self.notifier = LeadershipNotifier()
        self._commit = 0

    @property
    def identity(self) -> str:
        """Random identity of this member's disk."""
        return self.folder.identity

    @property
    def term(self) -> int:
        """Current term."""
        return self.ballot.term

    @property
    def commit(self) -> int:
        """Last index known to be committed."""
        return self._commit

    @property
    def is_voter(self) -> bool:
        """Whether this member's identity votes in its group."""
        return self.identity in self.journal.group.voters

    def load(self) -> Snapshot:
        """Read the durable state and return the snapshot to start from."""
        self.journal.load()
        self.ballot.load()
        if self.journal.last_term > self.term:
            # Founding stores its record before the term.
            self.store_vote(self.journal.last_term, '')
        snapshot = self.journal.snapshot
        self._commit = snapshot.index
        self.applied = snapshot.index
        return snapshot

    def store_vote(self, term: int, voted: str) -> None:
        """Store term and vote durably; worker only."""
        is_newer = term > self.term
        self.ballot.store(term, voted)
        if is_newer:
            with self.changed:
                self.leader = None

    def adopt_term(self, term: int) -> None:
        """Enter a term if it is newer; worker only."""
        if term > self.term:
            self.step_down()
            self.store_vote(term, '')

    def follow(self, term: int, leader: str) -> None:
        """Follow the leader of a term; worker only."""
        self.adopt_term(term)
        with self.changed:
            self.leader = leader
            self.changed.notify_all()

    def step_down(self) -> None:
        """Stop to lead; worker only."""
        with self.changed:
            leadership = self.leadership
            if leadership is None:
                return
            self.leadership = None
            self.leader = None
            leadership.is_closed = True
            waiting = leadership.take_waiting()
            if leadership.is_ready:
                self.notifier.put(is_leading=False)
            self.changed.notify_all()
        _LOGGER.info('Stepped down.', extra={'term': leadership.term})
        for proposal in waiting:
            proposal.future.set_exception(NotLeaderError(None))

    def advance_commit(self, index: int) -> None:
        """Raise the commit index; with ``changed`` held."""
        if index <= self._commit:
            return
        check(
            index <= self.journal.last_index,
            'committed records are held',
            index=index,
            last=self.journal.last_index,
        )
        self._commit = index
        self.changed.notify_all()

    def advance_leader_commit(self, leadership: Leadership) -> None:
        """Commit what a majority has synced; with ``changed`` held."""
        if leadership.is_closed:
            return
        index = leadership.read_quorum_match(
            self.journal.group,
            self.journal.synced_index,
        )
        # Records of former terms are only committed along with one of this
        # term: a majority alone does not protect them from a new leader.
        if self.journal.term_at(index) == leadership.term:
            self.advance_commit(index)

    def persist(self) -> None:
        """Sync the log and note how far it is synced; worker only."""
        synced_index = self.journal.persist()
        with self.changed:
            self.journal.synced_index = synced_index

    def install(self, snapshot: Snapshot) -> None:
        """Store a snapshot from the leader; worker only."""
        self.folder.write_snapshot(snapshot)
        with self.changed:
            self.journal.install(snapshot)
            self.advance_commit(snapshot.index)

    def adopt_snapshot(self, snapshot: Snapshot) -> None:
        """Use this member's own staged snapshot and compact; worker only."""
        if snapshot.index <= self.journal.snapshot.index:
            return
        self.folder.adopt_staged_snapshot()
        self.journal.snapshot = snapshot
        base_index = max(
            self.journal.base_index,
            snapshot.index - self.options.trailing_records,
        )
        self.journal.compact(base_index)
        with self.changed:
            self.journal.drop_through(base_index)

    def wait_until(
        self,
        condition: Callable[[], bool],
        deadline: float,
    ) -> bool:
        """Wait for a condition up to a monotonic time."""
        with self.changed:
            return self.changed.wait_for(
                condition,
                max(deadline - time.monotonic(), 0),
            )
