"""Answers to heartbeats."""

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
    """Grants leases; needs nothing but memory, so it may run anywhere."""

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
        """Answer a heartbeat."""
        if delivery.age_s > MAX_HEARTBEAT_AGE_S:
            self._metrics.count('heartbeats_late_total')
            return
        beat: Heartbeat = delivery.message
        versions = self._state.read().versions
        # Leadership is asked after the versions were read: no change can
        # have been accepted elsewhere by then.
        if self._duties.is_active():
            self._renew(delivery, beat, versions)
        else:
            self._mailbox.set_address(delivery.sender, beat.address)
            self._mailbox.reply(delivery, self._refuse(beat))

    def _renew(
        self,
        delivery: Delivery,
        beat: Heartbeat,
        versions: Versions,
    ) -> None:
        if self._sessions.renew(delivery, beat, time.monotonic()):
            self._mailbox.set_address(delivery.sender, beat.address)
            self._mailbox.reply(delivery, self._grant(beat, versions))
        else:
            # The address is that of a later start, which must not be replaced
            # by the one of this start.
            self._metrics.count('heartbeats_superseded_total')

    def _refuse(self, beat: Heartbeat) -> HeartbeatReply:
        return HeartbeatReply(
            sequence=beat.sequence,
            granted=False,
            leader=self._duties.get_leader(),
        )

    def _grant(self, beat: Heartbeat, versions: Versions) -> HeartbeatReply:
        return HeartbeatReply(
            sequence=beat.sequence,
            granted=True,
            leader=self._mailbox.instance,
            lease_ms=int(LEASE_S * _MS_PER_S),
            versions=versions,
            instances_version=self._sessions.version,
        )
