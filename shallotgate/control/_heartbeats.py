"""Handling of heartbeats and granting of leases."""

import time

from shallotgate.control._duties import LeaderDuties
from shallotgate.control._sessions import (
    LEASE_S,
    MAX_HEARTBEAT_AGE_S,
    SessionTable,
)
from shallotgate.generated.messages import (
    Heartbeat,
    HeartbeatReply,
    Versions,
)
from shallotgate.metrics import Metrics
from shallotgate.state import TierState
from shallotgate.transport import Delivery, Mailbox

_MS_PER_S = 1000


class HeartbeatHandler:
    """Grants leases in reply to heartbeats.

    It only accesses memory and never blocks, so it may run on any thread.
    """

    def __init__(
        self,
        mailbox: Mailbox,
        state: TierState,
        sessions: SessionTable,
        duties: LeaderDuties,
        metrics: Metrics,
    ) -> None:
        self._mailbox = mailbox
        self._state = state
        self._sessions = sessions
        self._duties = duties
        self._metrics = metrics

    def answer(self, delivery: Delivery) -> None:
        """Reply to a heartbeat; one that is too old is dropped."""
        if delivery.age_s > MAX_HEARTBEAT_AGE_S:
            self._metrics.count('heartbeats_late_total')
            return
        heartbeat: Heartbeat = delivery.message
        versions = self._state.read().versions
        # Leadership is checked after the versions are read: if this member
        # still leads, no other leader had accepted a change by then.
        if self._duties.is_active():
            self._renew(delivery, heartbeat, versions)
        else:
            self._mailbox.set_address(delivery.sender, heartbeat.address)
            self._mailbox.reply(delivery, self._refuse(heartbeat))

    def _renew(
        self,
        delivery: Delivery,
        heartbeat: Heartbeat,
        versions: Versions,
    ) -> None:
        if self._sessions.renew(delivery, heartbeat, time.monotonic()):
            self._mailbox.set_address(delivery.sender, heartbeat.address)
            self._mailbox.reply(delivery, self._grant(heartbeat, versions))
        else:
            # The known address belongs to a later start of the instance and
            # must not be overwritten with the address of this one.
            self._metrics.count('heartbeats_superseded_total')

    def _refuse(self, heartbeat: Heartbeat) -> HeartbeatReply:
        return HeartbeatReply(
            sequence=heartbeat.sequence,
            granted=False,
            leader=self._duties.get_leader(),
        )

    def _grant(
        self, heartbeat: Heartbeat, versions: Versions
    ) -> HeartbeatReply:
        return HeartbeatReply(
            sequence=heartbeat.sequence,
            granted=True,
            leader=self._mailbox.instance,
            lease_ms=int(LEASE_S * _MS_PER_S),
            versions=versions,
            instances_version=self._sessions.version,
        )
