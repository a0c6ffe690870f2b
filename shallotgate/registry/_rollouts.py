"""Runs rollouts on the leader."""

import hashlib
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from shallotgate.codec import encode_tagged
from shallotgate.consensus import ReplicatedLog
from shallotgate.errors import ShallotgateError, TransportError
from shallotgate.generated.messages import (
    AskExposure,
    GrantExposure,
    ListedTarget,
    RecordVersions,
    ServiceVersions,
    VersionsUpdate,
)
from shallotgate.logs import get_logger
from shallotgate.registry._listing import ListingPoller
from shallotgate.registry._served_term import ServedTerm
from shallotgate.registry._state import RegistryState
from shallotgate.rollouts import (
    RolloutBoard,
    RolloutRecords,
    VersionWatch,
    make_rules,
)
from shallotgate.transport import Delivery, Mailbox

_LOGGER = get_logger('rollouts')
# Intervals between two reviews in seconds, with and without a running order.
_BUSY_INTERVAL_S = 0.1
_IDLE_INTERVAL_S = 0.25
# The same after a commit that failed, for example because the disk is full.
_FAILURE_INTERVAL_S = 0.5
# Time-out of a commit in seconds. What is not committed is decided again.
_COMMIT_TIMEOUT_S = 1.0
# Bytes of the digest that identifies rules.
_REVISION_BYTES = 6


@dataclass(frozen=True)
class _MadeRules:
    """Rules and what they were made from; made anew when that changes."""

    records: RolloutRecords
    targets: Sequence[ListedTarget]
    update: VersionsUpdate


class RolloutService:
    """Answers questions for permits, and commits what is decided.

    Decisions need the leadership; rules for entries follow from the replicated
    state and the list alone.
    """

    def __init__(
        self,
        mailbox: Mailbox,
        log: ReplicatedLog,
        state: RegistryState,
        listing: ListingPoller,
    ) -> None:
        """Subscribe to mailbox and state, which must not have started."""
        self._mailbox = mailbox
        self._log = log
        self._state = state
        self._listing = listing
        # Guards the board.
        self._lock = threading.Lock()
        self._board = RolloutBoard()
        self._watch = VersionWatch()
        self._served_term = ServedTerm(log, (self._reset,))
        self._made: _MadeRules | None = None
        self._changed = threading.Event()
        self._is_stopped = False
        # Whether the last commit failed.
        self._is_failing = False
        self._thread = threading.Thread(
            target=self._run, name='rollouts', daemon=True
        )
        mailbox.subscribe(AskExposure, self._on_ask)
        state.subscribe(self._on_change)

    def start(self) -> None:
        """Start the thread that decides."""
        self._thread.start()

    def stop(self) -> None:
        """Stop deciding."""
        self._is_stopped = True
        self._changed.set()

    def make_update(self, known_revision: int) -> VersionsUpdate | None:
        """Return the rules, unless the entry has them.

        None until the list has been read in this leadership: the entry keeps
        the rules that it has.
        """
        targets = self._listing.list_targets()
        if targets is None:
            return None
        records = self._state.read().rollouts
        made = self._made
        if (
            made is None
            or made.targets is not targets
            or (made.records is not records)
        ):
            rules = make_rules(records, targets)
            update = VersionsUpdate(revision=_identify(rules), services=rules)
            made = _MadeRules(records, targets, update)
            self._made = made
        if made.update.revision == known_revision:
            return None
        return made.update

    def count_running(self) -> int:
        """Return the number of running orders."""
        return len(list(self._state.read().rollouts.iter_running()))

    def count_ended(self, state: str) -> int:
        """Return the number of services whose newest order ended so."""
        orders = self._state.read().rollouts.orders
        return sum(rollout.state == state for rollout in orders)

    def review(self) -> None:
        """Take the steps that are due, if this member leads."""
        self._served_term.renew()
        if not self._served_term.is_current():
            return
        now = time.monotonic()
        records = self._state.read().rollouts
        targets = self._listing.list_targets()
        with self._lock:
            self._board.follow(records, now)
            commands: list[object] = list(
                self._board.review(targets or (), now)
            )
        changes = self._watch.review(records, targets or (), now)
        if changes:
            commands.append(
                RecordVersions(
                    services=list(changes), versions=list(changes.values())
                )
            )
            _LOGGER.info('Versions recorded.', extra={'versions': changes})
        for command in commands:
            self._commit(command)

    def _reset(self) -> None:
        self._watch = VersionWatch()
        with self._lock:
            self._board.reset()

    def _on_change(self) -> None:
        with self._lock:
            self._board.record(self._state.read().rollouts, time.monotonic())
        self._changed.set()

    def _on_ask(self, delivery: Delivery) -> None:
        ask: AskExposure = delivery.message
        # Without an answer the permits of the entry expire.
        if not (self._log.is_leading() and self._served_term.is_current()):
            return
        with self._lock:
            counts = self._board.grant(
                ask.source, ask.rollouts, time.monotonic()
            )
        grant = GrantExposure(
            number=ask.number,
            orders=[each.order for each in ask.rollouts],
            counts=counts,
        )
        try:
            self._mailbox.send(delivery.sender, grant)
        except TransportError as error:
            _LOGGER.info('Permits were not sent to an entry: %s.', error)

    def _run(self) -> None:
        while not self._is_stopped:
            is_busy = self.count_running() > 0
            interval_s = _BUSY_INTERVAL_S if is_busy else _IDLE_INTERVAL_S
            if self._is_failing:
                interval_s = _FAILURE_INTERVAL_S
            self._changed.wait(interval_s)
            self._changed.clear()
            try:
                self.review()
            except Exception:
                # Must not end the thread: orders have a deadline.
                _LOGGER.exception('Rollouts cannot be reviewed.')

    def _commit(self, command: object) -> None:
        try:
            self._log.propose(encode_tagged(command), _COMMIT_TIMEOUT_S)
        except ShallotgateError as error:
            # Logged once, because it is tried again until it succeeds.
            if not self._is_failing:
                _LOGGER.warning('Decision was not committed: %s.', error)
            self._is_failing = True
            return
        self._is_failing = False


def _identify(rules: Sequence[ServiceVersions]) -> int:
    """Return a number that all leaders give to the same rules; 0 for none."""
    if not rules:
        return 0
    digest = hashlib.blake2b(
        msgspec.msgpack.encode(rules), digest_size=_REVISION_BYTES
    )
    return int.from_bytes(digest.digest(), 'big') or 1
