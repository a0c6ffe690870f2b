"""Replicated log of the control group."""

from collections.abc import Sequence
from pathlib import Path

from shallotgate.consensus._applier import Applier
from shallotgate.consensus._bootstrap import Founding
from shallotgate.consensus._elector import Elector
from shallotgate.consensus._follower import Follower
from shallotgate.consensus._leader import Leader
from shallotgate.consensus._leadership import Leadership, Proposal
from shallotgate.consensus._member_state import Core
from shallotgate.consensus._membership import make_changes
from shallotgate.consensus._notifier import LeadershipCallback
from shallotgate.consensus._options import ConsensusOptions
from shallotgate.consensus._state_machine import StateMachine
from shallotgate.consensus._status import DamageReport, GroupStatus
from shallotgate.consensus._status_reader import StatusReader
from shallotgate.consensus._worker import exit_on_failed_sync
from shallotgate.errors import DamagedFileError
from shallotgate.generated.settings import Member
from shallotgate.logs import get_logger
from shallotgate.storage import DataFolder
from shallotgate.timers import Subscription, TimerService
from shallotgate.transport import Mailbox

_LOGGER = get_logger('consensus')
_JOIN_S = 2
_TRANSFER_S = 2.0

_DEFAULT_OPTIONS = ConsensusOptions()


class ReplicatedLog:
    """Commits commands on a majority and applies them in order.

    A member takes part once it is started. Construct it before the mailbox
    is started, because it subscribes to messages.
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
        self._core = Core(instance, mailbox, self._folder, options)
        self._leader = Leader(self._core)
        self._changes = make_changes(self._core, self._leader)
        self._elector = Elector(self._core, self._leader.begin)
        self._follower = Follower(self._core)
        self._founding = Founding(self._core, members, bootstrap=bootstrap)
        self._applier = Applier(self._core, machine)
        self._reports = StatusReader(self._core, self._elector)
        self._ticks: Subscription | None = None
        self._is_tick_queued = False
        for member in members:
            if member.instance != instance:
                mailbox.set_address(member.instance, member.address)

    @property
    def leader(self) -> str | None:
        """Instance of the known leader."""
        return self._core.leader

    def start(self) -> None:
        """Load the durable state and take part in the group.

        A member with a damaged file stays out; ``status`` reports it. Raises
        ``StorageError`` if another process uses the folder.
        """
        try:
            with exit_on_failed_sync():
                snapshot = self._core.load()
        except DamagedFileError as error:
            _LOGGER.exception('Damaged; this member takes no part.')
            self._reports.damage = DamageReport(
                error.path,
                error.offset,
                str(error),
            )
            return
        self._applier.start(snapshot)
        self._core.notifier.start()
        self._core.worker.start()
        self._ticks = self._timers.call_every(
            self._core.options.tick_interval_s,
            self._queue_tick,
        )
        self._founding.start()

    def stop(self) -> None:
        """Stop to take part and close the files."""
        core = self._core
        leadership = core.leadership
        if self._ticks is not None:
            self._ticks.cancel()
            core.worker.post(core.step_down)
            self._founding.stop()
            core.worker.stop()
            self._applier.stop()
            core.notifier.stop()
        if leadership is not None:
            self._join_replicators(leadership)
        self._folder.close()

    def propose(self, command: bytes, timeout_s: float) -> object:
        """Commit a command and return the result of ``machine.apply``.

        Raises ``NotLeaderError`` if it was certainly not taken,
        ``CommitUnknownError`` if that is in doubt after ``timeout_s``, and
        whatever ``apply`` raised.
        """
        return self._leader.propose(Proposal('command', command), timeout_s)

    def read_barrier(self, timeout_s: float) -> int:
        """Wait until all that was committed before the call is applied.

        Returns the applied index. Raises ``NotLeaderError`` without a leader
        lease and ``CommitUnknownError`` if it is not applied in time.
        """
        return self._leader.read_barrier(timeout_s)

    def is_leading(self) -> bool:
        """Return whether this member leads, now, under a valid lease."""
        return self._leader.holds_lease()

    def transfer_leadership(self, timeout_s: float = _TRANSFER_S) -> bool:
        """Hand over to the follower that is furthest, for a graceful stop.

        Returns whether another leader is known within ``timeout_s``.
        """
        return self._changes.transfer(timeout_s)

    def replace_member(self, instance: str, timeout_s: float) -> None:
        """Admit the new identity of an instance in place of the former.

        Waits until it holds all that is committed. Nothing happens if the
        instance still has its admitted identity. Raises ``NotLeaderError``,
        ``CommitUnknownError``, or ``ConsensusError`` if it is no other
        member, has not caught up in time, or too few others answer.
        """
        self._changes.replace_member(instance, timeout_s)

    def on_leadership(self, callback: LeadershipCallback) -> None:
        """Call back with True when ready to lead, with False afterwards.

        Callbacks run on a thread of their own and may propose.
        """
        self._core.notifier.subscribe(callback)

    def status(self) -> GroupStatus:
        """Return the state of this member and what it knows of others."""
        return self._reports.read()

    def _queue_tick(self) -> None:
        if not self._is_tick_queued:
            self._is_tick_queued = True
            self._core.worker.post(self._tick)

    def _tick(self) -> None:
        self._is_tick_queued = False
        self._leader.tick()
        self._elector.tick()
        self._founding.tick()

    def _join_replicators(self, leadership: Leadership) -> None:
        for thread in leadership.threads:
            thread.join(_JOIN_S)
