"""Subscriptions to owner reports."""

import contextlib
import threading
import time
from collections.abc import Collection
from typing import Protocol

from shallotgate.errors import PeerUnreachableError
from shallotgate.generated.messages import SubscribeReports
from shallotgate.membership import TierView, View
from shallotgate.routing._observations import TargetObservations
from shallotgate.timers import TimerService
from shallotgate.transport import Mailbox

# Subscriptions expire after 10 s, so that two renewals may be lost.
_RENEWAL_INTERVAL_S = 3.0
_GROUP_USE_TTL_S = 60.0


class ReportScope(Protocol):
    """Selects the groups whose reports this entry subscribes to."""

    def record_use(self, group: str) -> None:
        """Record that a query addresses a group."""

    def list_groups(self, view: View) -> Collection[str]:
        """Return the groups whose owners are subscribed to."""


class AllGroups:
    """Selects every group of the catalogue; for up to a few hundred targets."""

    def record_use(self, group: str) -> None:
        """Ignore the use, since all groups are selected anyway."""

    def list_groups(self, view: View) -> Collection[str]:
        """Return all groups."""
        return {service.group for service in view.catalogue.services.values()}


class RecentGroups:
    """Selects groups used in the last minute; all in the first minute."""

    def __init__(self) -> None:
        self._used_at: dict[str, float] = {}
        self._all_until = float('inf')

    def record_use(self, group: str) -> None:
        """Record that a query addresses a group."""
        self._used_at[group] = time.monotonic()

    def list_groups(self, view: View) -> Collection[str]:
        """Return the recently used groups."""
        now = time.monotonic()
        if self._all_until == float('inf') and view.catalogue.services:
            self._all_until = now + _GROUP_USE_TTL_S
        if now < self._all_until:
            return {
                service.group for service in view.catalogue.services.values()
            }
        oldest = now - _GROUP_USE_TTL_S
        used = tuple(self._used_at.items())
        return {group for group, used_at in used if used_at > oldest}


class ReportSubscriber:
    """Subscribes to the reports of the owners of all targets in scope."""

    def __init__(
        self,
        mailbox: Mailbox,
        view: TierView,
        observations: TargetObservations,
        scope: ReportScope | None = None,
    ) -> None:
        self._mailbox = mailbox
        self._view = view
        self._observations = observations
        self._lock = threading.Lock()
        self._subscribed: frozenset[str] = frozenset()
        self.scope = scope or AllGroups()

    def start(self, timers: TimerService) -> None:
        """Subscribe to views and renew subscriptions periodically."""
        self._view.subscribe(self._handle_view)
        timers.call_every(_RENEWAL_INTERVAL_S, self.renew)

    def renew(self) -> None:
        """Renew the subscriptions to all owners in scope."""
        view = self._view.current()
        owners = self._list_owners(view)
        with self._lock:
            self._subscribed = owners
        self._subscribe_to(owners)
        self._observations.retain_targets(frozenset(view.places))

    def has_all_reports(self) -> bool:
        """Return whether every owned target in scope has been reported.

        Until then the entry is not ready: it could bind queries to a version
        that seems to lack partitions which unreported targets hold.
        """
        view = self._view.current()
        groups = self.scope.list_groups(view)
        for name, ownership in view.ownership.items():
            place = view.places.get(name)
            if place is None or place.service.group not in groups:
                continue
            is_held = ownership.state == 'held'
            if is_held and self._observations.record_for(name).state is None:
                return False
        return True

    def _handle_view(self, view: View) -> None:
        owners = self._list_owners(view)
        with self._lock:
            new_owners = owners - self._subscribed
            self._subscribed |= owners
        self._subscribe_to(new_owners)

    def _list_owners(self, view: View) -> frozenset[str]:
        groups = self.scope.list_groups(view)
        owners = set()
        for name, place in view.places.items():
            ownership = view.ownership.get(name)
            if ownership is not None and place.service.group in groups:
                owners.add(ownership.instance)
        owners.discard(self._mailbox.instance)
        return frozenset(owners)

    def _subscribe_to(self, owners: Collection[str]) -> None:
        for owner in owners:
            # If sending fails, the next renewal tries again.
            with contextlib.suppress(PeerUnreachableError):
                self._mailbox.send(owner, SubscribeReports())
