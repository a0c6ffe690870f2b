"""State shared by the components of a member."""

import threading
import time
from collections.abc import Callable

from shallotgate.consensus._disk_guard import DiskGuard
from shallotgate.consensus._journal import Journal
from shallotgate.consensus._leadership import Leadership, Proposal
from shallotgate.consensus._notifier import LeadershipNotifier
from shallotgate.consensus._options import ConsensusOptions
from shallotgate.consensus._vote_state import VoteState
from shallotgate.consensus._worker import Worker
from shallotgate.errors import NotLeaderError
from shallotgate.invariants import check
from shallotgate.logs import get_logger
from shallotgate.storage import DataFolder, Snapshot
from shallotgate.transport import Mailbox

_LOGGER = get_logger('consensus')


class MemberState:
    """Term, vote, log, commit index and role of this member.

    Only the worker thread changes term, log and role, so it reads them
    without a lock. All other threads hold the condition ``changed``, which is
    notified after each change. Handlers on the mailbox thread must not lock
    it, because the worker may hold it while it rewrites the log file.
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
        self.vote_state = VoteState(folder)
        self.worker = Worker(DiskGuard(folder, self.step_down))
        self.changed = threading.Condition()
        self.leader: str | None = None
        self.leadership: Leadership | None = None
        self.applied_index = 0
        # Proposals that are in the log but not yet applied, by index.
        self.proposals: dict[int, Proposal] = {}
        # Monotonic time of the last message from a leader. The start of the
        # process counts as one, because before it this member may have
        # extended the lease of a leader.
        self.last_leader_contact = (
            options.no_leader_contact_since or time.monotonic()
        )
        self.notifier = LeadershipNotifier()
        self._commit_index = 0

    @property
    def identity(self) -> str:
        """Random identity stored in this member's data folder."""
        return self.folder.identity

    @property
    def term(self) -> int:
        """Latest term that this member has stored."""
        return self.vote_state.term

    @property
    def commit_index(self) -> int:
        """Highest index known to be committed."""
        return self._commit_index

    @property
    def is_voter(self) -> bool:
        """Whether the identity of this member is a voter of the group."""
        return self.identity in self.journal.group.voters

    def load(self) -> Snapshot:
        """Read the durable state and return the latest snapshot."""
        self.journal.load()
        self.vote_state.load()
        if self.journal.last_term > self.term:
            # Bootstrapping stores the first record before the term.
            self.store_vote(self.journal.last_term, '')
        snapshot = self.journal.snapshot
        self._commit_index = snapshot.index
        self.applied_index = snapshot.index
        return snapshot

    def store_vote(self, term: int, voted: str) -> None:
        """Store term and vote durably; worker only."""
        is_newer = term > self.term
        self.vote_state.store(term, voted)
        if is_newer:
            with self.changed:
                self.leader = None

    def adopt_term(self, term: int) -> None:
        """Step down and store the term if it is newer; worker only."""
        if term > self.term:
            self.step_down()
            self.store_vote(term, '')

    def follow_leader(self, term: int, leader: str) -> None:
        """Adopt the term and its leader; worker only."""
        self.adopt_term(term)
        with self.changed:
            self.leader = leader
            self.changed.notify_all()

    def step_down(self) -> None:
        """Give up leadership and fail pending proposals; worker only."""
        with self.changed:
            leadership = self.leadership
            if leadership is None:
                return
            self.leadership = None
            self.leader = None
            leadership.is_closed = True
            pending = leadership.take_pending()
            if leadership.is_ready:
                self.notifier.notify(is_leading=False)
            self.changed.notify_all()
        _LOGGER.info('Stepped down.', extra={'term': leadership.term})
        for proposal in pending:
            proposal.future.set_exception(NotLeaderError(None))

    def advance_commit(self, index: int) -> None:
        """Raise the commit index; requires ``changed`` to be held."""
        if index <= self._commit_index:
            return
        check(
            index <= self.journal.last_index,
            'committed records are held',
            index=index,
            last=self.journal.last_index,
        )
        self._commit_index = index
        self.changed.notify_all()

    def advance_leader_commit(self, leadership: Leadership) -> None:
        """Commit what a majority has synced; requires ``changed``."""
        if leadership.is_closed:
            return
        index = leadership.read_quorum_match_index(
            self.journal.group,
            self.journal.synced_index,
        )
        # Records of former terms are committed only together with a record of
        # this term: even if a majority holds them, a later leader may
        # overwrite them (Raft paper, section 5.4.2).
        if self.journal.term_at(index) == leadership.term:
            self.advance_commit(index)

    def persist(self) -> None:
        """Sync the log and update its synced index; worker only."""
        synced_index = self.journal.persist()
        with self.changed:
            self.journal.synced_index = synced_index

    def install(self, snapshot: Snapshot) -> None:
        """Store and load a snapshot from the leader; worker only."""
        self.folder.write_snapshot(snapshot)
        with self.changed:
            self.journal.install(snapshot)
            self.advance_commit(snapshot.index)

    def adopt_snapshot(self, snapshot: Snapshot) -> None:
        """Adopt the staged snapshot and compact the log; worker only."""
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
        """Wait for a condition until a deadline in monotonic time."""
        with self.changed:
            return self.changed.wait_for(
                condition,
                max(deadline - time.monotonic(), 0),
            )
