"""Sends state changes to entries by long polling; runs on the leader."""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from shallotgate.consensus import ReplicatedLog
from shallotgate.generated.messages import (
    ContentsUpdate,
    DomainsUpdate,
    FollowTier,
    ObservedReplies,
    TierUpdate,
    VersionsUpdate,
)
from shallotgate.logs import get_logger
from shallotgate.pacing import PaceBoard
from shallotgate.registry._conditions import ConditionTracker
from shallotgate.registry._entry_counter import EntryCounter
from shallotgate.registry._listing import ListingPoller
from shallotgate.registry._served_term import ServedTerm
from shallotgate.registry._state import RegistryState
from shallotgate.registry._table_differences import TableDifferences
from shallotgate.registry._update_sender import UpdateSender
from shallotgate.registry._update_tracker import UpdateTracker
from shallotgate.target_limits import LimitBoard
from shallotgate.transport import Delivery, Mailbox

_LOGGER = get_logger('followers')
# A request is answered after this time even without changes, which shows the
# entry that the leader is alive.
_LONG_POLL_TIMEOUT_S = 0.8
# Long-poll timeout while no leader is known. It is about the duration of an
# election; the entry may ask another member afterwards.
_LEADERLESS_TIMEOUT_S = 0.25
# Interval between checks for requests whose timeout has passed.
_POLL_INTERVAL_S = 0.05
# Bits of the random first revision of the conditions, which keeps revisions of
# different leaders distinct.
_REVISION_BITS = 48

# Returns the rules for versions, given the revision that an entry has.
VersionsSource = Callable[[int], VersionsUpdate | None]
# Returns the refused contents, given the revision that an entry has.
ContentsSource = Callable[[int], ContentsUpdate | None]


@dataclass
class _PendingRequest:
    delivery: Delivery
    # Monotonic time.
    received_at: float
    # Change counter at the last check of this request; -1 before the first.
    checked_changes: int = -1


class FollowerService:
    """Answers the entries that follow this member."""

    def __init__(
        self,
        mailbox: Mailbox,
        log: ReplicatedLog,
        state: RegistryState,
        listing: ListingPoller,
        list_members: Callable[[], list[str]],
        limits: LimitBoard,
        make_contents: ContentsSource | None = None,
        make_versions: VersionsSource | None = None,
    ) -> None:
        """Subscribe to the mailbox, which must not have started.

        ``make_contents`` returns refusals of contents, ``make_versions`` rules
        for versions that an entry lacks.
        """
        self._make_versions = make_versions
        self._make_contents = make_contents
        self._mailbox = mailbox
        self._log = log
        self._state = state
        self._listing = listing
        self._list_members = list_members
        self._limits = limits
        self._pending: dict[str, _PendingRequest] = {}
        self.entry_counter = EntryCounter()
        self._update_tracker = UpdateTracker()
        self._sender = UpdateSender(mailbox, self._update_tracker)
        self._tables = TableDifferences()
        self._changed = threading.Condition()
        # Counts changes that may concern a follower.
        self._changes = 0
        self._conditions = ConditionTracker(random.getrandbits(_REVISION_BITS))
        self._paces = PaceBoard(random.getrandbits(_REVISION_BITS))
        self._served_term = ServedTerm(
            log, (self._conditions.reset, limits.reset, self._paces.reset)
        )
        self._is_stopped = False
        self._thread = threading.Thread(
            target=self._run,
            name='followers',
            daemon=True,
        )
        mailbox.subscribe(FollowTier, self._on_follow)
        mailbox.subscribe(ObservedReplies, self._on_observed)
        state.subscribe(self._notify_change)
        # Before the followers are told of the list.
        listing.subscribe(
            lambda: self._paces.apply_listing(
                listing.list_targets() or (), time.monotonic()
            )
        )
        listing.subscribe(self._notify_change)
        log.on_leadership(self._on_leadership)

    def start(self) -> None:
        """Start the reply thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the reply thread."""
        self._is_stopped = True
        self._notify_change()

    def list_entries(self) -> list[str]:
        """Return the live entries, which share the limits of the targets."""
        return self.entry_counter.list_live(time.monotonic())

    def count_behind(self) -> int:
        """Return the number of live entries without the newest table."""
        return self._update_tracker.count_behind(
            self.list_entries(), self._state.read().version
        )

    def _on_follow(self, delivery: Delivery) -> None:
        now = time.monotonic()
        self._update_tracker.record_request(
            delivery.sender, delivery.message.table_version, now
        )
        self.entry_counter.record_request(
            delivery.sender, delivery.message, now
        )
        with self._changed:
            self._pending[delivery.sender] = _PendingRequest(delivery, now)
            self._changed.notify_all()
        if delivery.message.observed is not None:
            self._record_replies(delivery.message.observed)

    def _on_observed(self, delivery: Delivery) -> None:
        self._record_replies(delivery.message)

    def _record_replies(self, observed: ObservedReplies) -> None:
        now = time.monotonic()
        self._limits.record_replies(observed, now)
        self._paces.record_replies(observed, now)
        self._conditions.record_replies(
            observed, now, self._paces.list_active()
        )

    def _on_leadership(self, is_leading: bool) -> None:
        self.entry_counter.set_leading(is_leading, time.monotonic())
        self._notify_change()

    def _notify_change(self) -> None:
        with self._changed:
            self._changes += 1
            self._changed.notify_all()

    def _run(self) -> None:
        while not self._is_stopped:
            with self._changed:
                self._changed.wait(_POLL_INTERVAL_S if self._pending else None)
            self._served_term.renew()
            try:
                is_urgent = self._conditions.publish(time.monotonic())
            except Exception:
                # Must not end the thread: entries need the tables.
                _LOGGER.exception('Conditions cannot be published.')
                is_urgent = False
            if is_urgent:
                self._notify_change()
            with self._changed:
                due = self._list_due(time.monotonic())
            for pending in due:
                try:
                    self._try_reply(pending)
                except Exception:
                    _LOGGER.exception('Reply to a follower failed.')
                    self._remove(pending)

    def _list_due(self, now: float) -> list[_PendingRequest]:
        """Return the requests that may be answered now."""
        if not self._served_term.is_current():
            return list(self._pending.values())
        due = [
            pending
            for pending in self._pending.values()
            if pending.checked_changes != self._changes
            or now - pending.received_at > _LONG_POLL_TIMEOUT_S
        ]
        for pending in due:
            pending.checked_changes = self._changes
        return due

    def _try_reply(self, pending: _PendingRequest) -> None:
        if not self._served_term.is_current():
            self._redirect(pending)
            return
        message = pending.delivery.message
        update = self._make_update(message)
        # An entry that states no revision of the rules can't take them, and
        # would be answered over and over.
        takes_rules = message.versions_revision >= 0
        has_changes = (
            update.table
            or update.domains
            or update.listing
            or self._conditions.is_urgent(message.conditions_revision)
        ) or (update.versions and takes_rules)
        waited_s = time.monotonic() - pending.received_at
        is_overdue = waited_s > _LONG_POLL_TIMEOUT_S
        if not (has_changes or is_overdue):
            return
        if self._sender.send(pending.delivery, update, is_overdue=is_overdue):
            self._remove(pending)

    def _redirect(self, pending: _PendingRequest) -> None:
        """Reply with the leader, or keep the request until one is known."""
        leader = self._log.leader or ''
        if leader == self._mailbox.instance:
            # This member is elected but not ready to lead yet.
            leader = ''
        waited_s = time.monotonic() - pending.received_at
        if leader or waited_s > _LEADERLESS_TIMEOUT_S:
            self._remove(pending)
            self._mailbox.reply(
                pending.delivery,
                TierUpdate(status='not_leader', leader=leader),
            )

    def _remove(self, pending: _PendingRequest) -> None:
        with self._changed:
            sender = pending.delivery.sender
            if self._pending.get(sender) is pending:
                self._pending.pop(sender)

    def _make_update(self, message: FollowTier) -> TierUpdate:
        registry = self._state.read()
        domains = None
        if registry.domains_revision > message.domains_revision:
            domains = DomainsUpdate(
                revision=registry.domains_revision,
                out=list(registry.domains_out),
            )
        return TierUpdate(
            status='current',
            members=self._list_members(),
            entries=self.entry_counter.count(time.monotonic()),
            table=self._tables.make_update(
                registry,
                message.table_version,
                merges=message.merges_tables,
            ),
            domains=domains,
            listing=self._listing.make_update(
                message.listing_source,
                message.listing_revision,
            ),
            conditions=self._conditions.make_update(
                message.conditions_revision,
                merges=message.merges_conditions,
            ),
            limits=self._limits.make_update(message.limits_revision),
            paces=self._paces.make_update(message.paces_revision),
            # After the list, whose versions they cover.
            versions=self._make_versions
            and self._make_versions(message.versions_revision),
            contents=self._make_contents
            and self._make_contents(message.contents_revision),
        )
