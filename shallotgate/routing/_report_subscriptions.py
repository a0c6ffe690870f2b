"""Subscriptions to the reports of owners."""

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

# A subscription lasts 10 s; two may be lost before it ends.
_RENEWAL_INTERVAL_S = 3.0
_GROUP_USE_TTL_S = 60.0


class ReportScope(Protocol):
    """Decides whose reports this entry asks for."""

    def record_use(self, group: str) -> None:
        """Note that a query addresses a group."""

    def list_groups(self, view: View) -> Collection[str]:
        """Return the groups whose owners are asked for reports."""


class AllGroups:
    """Every group of the catalogue; for tiers of some hundred targets."""

    def record_use(self, group: str) -> None:
        """Need no record of use."""

    def list_groups(self, view: View) -> Collection[str]:
        """Return all groups."""
        return {service.group for service in view.catalogue.services.values()}


class RecentGroups:
    """Groups that were used in the last minute, and all in the first."""

    def __init__(self) -> None:
        self._used_at: dict[str, float] = {}
        self._all_until = float('inf')

    def record_use(self, group: str) -> None:
        """Note that a query addresses a group."""
        self._used_at[group] = time.monotonic()

    def list_groups(self, view: View) -> Collection[str]:
        """Return the groups in use."""
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
    """Asks the owners of the targets of interest for their reports."""

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
        """Renew every few seconds and with each new set of owners."""
        self._view.subscribe(self._handle_view)
        timers.call_every(_RENEWAL_INTERVAL_S, self.renew)

    def renew(self) -> None:
        """Ask all owners of interest now."""
        view = self._view.current()
        owners = self._list_owners(view)
        with self._lock:
            self._subscribed = owners
        self._subscribe_to(owners)
        self._observations.retain_targets(frozenset(view.places))

    def has_all_reports(self) -> bool:
        """Return whether each owned target of interest is reported.

        An entry is not ready before: it would bind queries to a version
        with partitions missing that others hold.
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
            # Where it fails, it is asked again with the next renewal.
            with contextlib.suppress(PeerUnreachableError):
                self._mailbox.send(owner, SubscribeReports())
