"""Putting newer state into force."""

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
from shallotgate.membership._releases import ReleaseList, list_unopened
from shallotgate.membership._updates import update_view
from shallotgate.membership._view import TierView
from shallotgate.state import covers
from shallotgate.transport import Mailbox

_LOGGER = get_logger('membership')
_FETCH_S = 2.0


def _list_put(update: StateUpdate) -> Sequence[InstanceRecord]:
    difference = update.instances_difference
    return update.instances or () if difference is None else difference.put


class StateApplier:
    """Fetches newer state and puts it into force."""

    def __init__(
        self,
        link: ControlLink,
        mailbox: Mailbox,
        tier_view: TierView,
        releases: ReleaseList,
    ) -> None:
        self._link = link
        self._mailbox = mailbox
        self._view = tier_view
        self._releases = releases
        # Version of the leader's session table that was applied.
        self._instances_version = 0
        # One fetch at a time: an older update can't follow a newer one.
        self._lock = threading.Lock()

    def covers(self, reply: HeartbeatReply) -> bool:
        """Return whether the versions that a reply names are in force."""
        named = reply.versions
        if named is None:
            return False
        return covers(self._view.current().versions, named)

    def fetch(self, peer: str, reply: HeartbeatReply) -> None:
        """Apply what a heartbeat's reply names, if it is not in force yet."""
        with self._lock:
            is_known = reply.instances_version == self._instances_version
            if is_known and self.covers(reply):
                return
            try:
                self._fetch(peer, whole=False)
            except BaseVersionMismatchError as error:
                _LOGGER.warning('State is fetched whole: %s.', error)
                self._fetch(peer, whole=True)

    def _fetch(self, peer: str, *, whole: bool) -> None:
        message = FetchState(
            versions=self._view.current().versions,
            instances_version=self._instances_version,
            whole=whole,
        )
        update = self._link.call(peer, message, _FETCH_S)
        if isinstance(update, StateUpdate):
            self._apply(update)

    def _apply(self, update: StateUpdate) -> None:
        before = self._view.current()
        after = update_view(before, update, self._instances_version)
        for record in _list_put(update):
            if record.instance != self._mailbox.instance:
                self._mailbox.set_address(record.instance, record.address)
        # Subscribers of the view have acted on it when this returns, so that
        # the lease counts only with the new versions in force.
        self._view.replace(after)
        owner = Owner(
            instance=self._mailbox.instance,
            start_id=self._mailbox.start_id,
        )
        for release in list_unopened(before.ownership, after.ownership, owner):
            self._releases.add(release)
        self._instances_version = update.instances_version
