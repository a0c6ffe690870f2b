"""Application of newer state to the view."""

import threading
from collections.abc import Sequence

from shallotgate.errors import BaseVersionMismatchError
from shallotgate.generated.messages import (
    FetchState,
    HeartbeatReply,
    InstanceRecord,
    Owner,
    StateUpdate,
)
from shallotgate.logs import get_logger
from shallotgate.membership._link import ControlLink
from shallotgate.membership._releases import (
    PendingReleases,
    list_unopened_releases,
)
from shallotgate.membership._updates import update_view
from shallotgate.membership._view import TierView
from shallotgate.state import covers
from shallotgate.transport import Mailbox

_LOGGER = get_logger('membership')
_FETCH_TIMEOUT_S = 2.0


def _list_updated_instances(update: StateUpdate) -> Sequence[InstanceRecord]:
    difference = update.instances_difference
    return update.instances or () if difference is None else difference.put


class StateApplier:
    """Fetches newer state and applies it to the view."""

    def __init__(
        self,
        link: ControlLink,
        mailbox: Mailbox,
        tier_view: TierView,
        releases: PendingReleases,
    ) -> None:
        self._link = link
        self._mailbox = mailbox
        self._view = tier_view
        self._releases = releases
        # Last applied version of the leader's session table.
        self._instances_version = 0
        # Serializes fetches, so that an older update is never applied after a
        # newer one.
        self._lock = threading.Lock()

    def covers(self, reply: HeartbeatReply) -> bool:
        """Return whether the view has the versions of a reply."""
        versions = reply.versions
        if versions is None:
            return False
        return covers(self._view.current().versions, versions)

    def fetch(self, peer: str, reply: HeartbeatReply) -> None:
        """Fetch and apply the state of a heartbeat reply unless current."""
        with self._lock:
            is_current = reply.instances_version == self._instances_version
            if is_current and self.covers(reply):
                return
            try:
                self._fetch(peer, whole=False)
            except BaseVersionMismatchError as error:
                _LOGGER.warning('Fetching the full state: %s.', error)
                self._fetch(peer, whole=True)

    def _fetch(self, peer: str, *, whole: bool) -> None:
        message = FetchState(
            versions=self._view.current().versions,
            instances_version=self._instances_version,
            whole=whole,
        )
        update = self._link.call(peer, message, _FETCH_TIMEOUT_S)
        if isinstance(update, StateUpdate):
            self._apply(update)

    def _apply(self, update: StateUpdate) -> None:
        previous = self._view.current()
        after = update_view(previous, update, self._instances_version)
        for record in _list_updated_instances(update):
            if record.instance != self._mailbox.instance:
                self._mailbox.set_address(record.instance, record.address)
        # Runs all subscribers of the view before it returns, so the lease
        # is extended only after the new versions are active.
        self._view.replace(after)
        owner = Owner(
            instance=self._mailbox.instance,
            start_id=self._mailbox.start_id,
        )
        for release in list_unopened_releases(
            previous.ownership, after.ownership, owner
        ):
            self._releases.add(release)
        self._instances_version = update.instances_version
