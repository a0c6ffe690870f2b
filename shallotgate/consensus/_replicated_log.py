"""Public interface of the replicated log."""

from collections.abc import Sequence
from pathlib import Path

from shallotgate.consensus._applier import Applier
from shallotgate.consensus._bootstrap import GroupBootstrapper
from shallotgate.consensus._elector import Elector
from shallotgate.consensus._follower import Follower
from shallotgate.consensus._leader import Leader
from shallotgate.consensus._leadership import Leadership
from shallotgate.consensus._leadership_transfer import LeadershipTransfer
from shallotgate.consensus._member_state import MemberState
from shallotgate.consensus._membership import MembershipManager
from shallotgate.consensus._notifier import LeadershipCallback
from shallotgate.consensus._options import ConsensusOptions
from shallotgate.consensus._state_machine import StateMachine
from shallotgate.consensus._status import DamageReport, GroupStatus
from shallotgate.consensus._status_reader import StatusReader
from shallotgate.errors import DamagedFileError
from shallotgate.generated.settings import Member
from shallotgate.logs import get_logger
from shallotgate.storage import DataFolder
from shallotgate.timers import Subscription, TimerService
from shallotgate.transport import Mailbox

_LOGGER = get_logger('consensus')
_THREAD_JOIN_TIMEOUT_S = 2
_TRANSFER_TIMEOUT_S = 2.0

_DEFAULT_OPTIONS = ConsensusOptions()


class ReplicatedLog:
    """Commits commands on a majority and applies them in log order.

    The member joins the group when it is started. Construct it before the
    mailbox is started, because the constructor subscribes to messages.
    """

    def __init__(
        self,
        mailbox: Mailbox,
        timers: TimerService,
        machine: StateMachine,
        folder: Path | str,
        instance: str,
        members: Sequence[Member],
        bootstrap: bool,
        options: ConsensusOptions = _DEFAULT_OPTIONS,
    ) -> None:
        self._timers = timers
        self._folder = DataFolder(folder)
        self._state = MemberState(instance, mailbox, self._folder, options)
        self._leader = Leader(self._state)
        self._membership = MembershipManager(self._state, self._leader)
        self._elector = Elector(self._state, self._leader.begin)
        self._follower = Follower(self._state)
        self._bootstrapper = GroupBootstrapper(
            self._state, members, bootstrap=bootstrap
        )
        self._applier = Applier(self._state, machine)
        self._status_reader = StatusReader(
            self._state, self._elector, self._membership
        )
        self._ticks: Subscription | None = None
        self._is_tick_queued = False
        for member in members:
            if member.instance != instance:
                mailbox.set_address(member.instance, member.address)

    @property
    def leader(self) -> str | None:
        """Instance id of the known leader; None if there is none."""
        return self._state.leader

    @property
    def previous_leadership_at(self) -> float:
        """Monotonic time at which the leadership before the newest began.

        Both are taken from applied records. What began before this process is
        given a later time, not before the start of the process.
        """
        return self._applier.leaderships.previous_at

    def start(self) -> None:
        """Load the durable state and join the group.

        A member with a damaged file does not join; ``status`` reports the
        damage. Raises ``StorageError`` if another process uses the folder.
        """
        snapshot = None
        try:
            with self._state.worker.guard.watch():
                snapshot = self._state.load()
        except DamagedFileError as error:
            _LOGGER.exception(
                'Durable state is damaged; this member does not join its group.'
            )
            self._status_reader.damage = DamageReport(
                error.path,
                error.offset,
                str(error),
            )
            return
        if snapshot is None:
            # The disk took no writes until the member was stopped.
            return
        self._applier.start(snapshot)
        self._state.notifier.start()
        self._state.worker.start()
        self._ticks = self._timers.call_every(
            self._state.options.tick_interval_s,
            self._queue_tick,
        )
        self._bootstrapper.start()

    def stop(self) -> None:
        """Leave the group in an orderly way and close the files."""
        state = self._state
        state.worker.guard.stop()
        leadership = state.leadership
        if self._ticks is not None:
            self._ticks.cancel()
            state.worker.post(state.step_down)
            self._bootstrapper.stop()
            state.worker.stop()
            self._applier.stop()
            state.notifier.stop()
        if leadership is not None:
            _join_replicators(leadership)
        self._folder.close()

    def propose(self, command: bytes, timeout_s: float) -> object:
        """Commit a command and return the result of ``machine.apply``.

        Raises ``NotLeaderError`` if the command was certainly not committed,
        ``CommitUnknownError`` if its outcome is unknown after ``timeout_s``,
        and any exception raised by ``apply``.
        """
        return self._leader.propose(command, timeout_s)

    def read_barrier(self, timeout_s: float) -> int:
        """Wait until all records committed before the call are applied.

        Returns the applied index. Raises ``NotLeaderError`` without a valid
        lease and ``CommitUnknownError`` on timeout.
        """
        return self._leader.read_barrier(timeout_s)

    def is_leading(self) -> bool:
        """Return whether this member leads with a valid lease."""
        return self._leader.holds_lease()

    def get_leading_term(self) -> int | None:
        """Return the term in which this member leads; None if it does not.

        In the same term no other member has led in between.
        """
        return self._leader.get_leading_term()

    def transfer_leadership(
        self, timeout_s: float = _TRANSFER_TIMEOUT_S
    ) -> bool:
        """Transfer leadership to the most up-to-date follower.

        Used for a graceful stop. Returns whether another leader is known
        within ``timeout_s``.
        """
        return LeadershipTransfer(self._state).run(timeout_s)

    def replace_member(self, instance: str, timeout_s: float) -> None:
        """Replace the identity of a member with its new one.

        Waits until the new identity holds all committed records. Does nothing
        if the identity of the instance is unchanged. Keeps out no other change
        of the group meanwhile. Raises ``NotLeaderError``, or ``ConsensusError``
        with the reason if the instance is not another member, does not catch
        up in time, or too few other voters respond. The replacement may have
        begun then, and a further call continues it.
        """
        self._membership.replace_member(instance, timeout_s)

    def on_leadership(self, callback: LeadershipCallback) -> None:
        """Subscribe to leadership changes.

        The callback gets True once this member is ready to lead and False
        when it steps down. Callbacks run on a dedicated thread and may
        propose.
        """
        self._state.notifier.subscribe(callback)

    def is_suspended(self) -> bool:
        """Return whether the disk of this member takes no writes."""
        return self._state.worker.guard.is_suspended

    def status(self) -> GroupStatus:
        """Return the status of the group as seen by this member."""
        return self._status_reader.read()

    def _queue_tick(self) -> None:
        if not self._is_tick_queued:
            self._is_tick_queued = True
            self._state.worker.post(self._tick)

    def _tick(self) -> None:
        self._is_tick_queued = False
        self._leader.tick()
        self._membership.tick()
        self._elector.tick()
        self._bootstrapper.tick()


def _join_replicators(leadership: Leadership) -> None:
    for thread in leadership.threads:
        thread.join(_THREAD_JOIN_TIMEOUT_S)
