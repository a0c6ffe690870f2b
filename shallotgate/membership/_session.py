"""Heartbeats, lease and view of this instance."""

import itertools
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Literal

from shallotgate.codec import CodecError
from shallotgate.errors import PeerUnreachableError, TransportError
from shallotgate.generated.messages import (
    Heartbeat,
    HeartbeatReply,
    Release,
)
from shallotgate.generated.settings import Settings
from shallotgate.logs import get_logger
from shallotgate.membership._applier import StateApplier
from shallotgate.membership._heartbeat_scheduler import (
    HeartbeatScheduler,
    SentHeartbeat,
)
from shallotgate.membership._lease import LeaseHolder
from shallotgate.membership._link import ControlLink, DirectLink
from shallotgate.membership._releases import PendingReleases
from shallotgate.membership._view import TierView
from shallotgate.metrics import Metrics
from shallotgate.timers import Subscription, TimerService
from shallotgate.transport import Mailbox

_LOGGER = get_logger('membership')

Readiness = Literal['starting', 'ready', 'leaving']

# Later replies are of little use, as the lease lasts 4 s.
_CALL_TIMEOUT_S = 2.0
# Concurrent heartbeats, including those that search for a new leader.
_WORKER_THREADS = 8
_LEASE_CHECK_INTERVAL_S = 0.5
_MS_PER_S = 1000


def _choose_address(settings: Settings) -> str:
    if settings.advertised_address.endswith(':0'):
        return settings.peer_address
    return settings.advertised_address


class Session:
    """Maintains this instance's membership in the tier.

    Heartbeats run on dedicated threads, so that neither queries nor timer
    callbacks delay them.
    """

    def __init__(
        self,
        mailbox: Mailbox,
        timers: TimerService,
        settings: Settings,
        start_id: str,
        tier_view: TierView,
        metrics: Metrics,
        link: ControlLink | None = None,
    ) -> None:
        self.lease = LeaseHolder()
        members = [member.instance for member in settings.control_members]
        self.link: ControlLink = link or DirectLink(mailbox, members)
        self._mailbox = mailbox
        self._timers = timers
        self._settings = settings
        self._view = tier_view
        self._metrics = metrics
        self._announced_readiness: Readiness = 'starting'
        self._releases = PendingReleases()
        self._applier = StateApplier(
            self.link,
            mailbox,
            tier_view,
            self._releases,
        )
        self._sequences = itertools.count(1)
        generator = random.Random(f'{settings.seed}{start_id}')  # noqa: S311
        self._scheduler = HeartbeatScheduler(self.link, generator)
        self._ready = threading.Event()
        # Lease state that was last logged.
        self._logged_lease = False
        self._lease_check: Subscription | None = None
        self._workers = ThreadPoolExecutor(_WORKER_THREADS, 'heartbeat')
        self._thread = threading.Thread(
            target=self._run,
            name='session',
            daemon=True,
        )

    def start(self) -> None:
        """Register the members' addresses and start sending heartbeats."""
        for member in self._settings.control_members:
            self._mailbox.set_address(member.instance, member.address)
        self._metrics.register_gauge(
            'lease_remaining_s', self.lease.remaining_s
        )
        self._lease_check = self._timers.call_every(
            _LEASE_CHECK_INTERVAL_S, self._check_lease
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop heartbeats and revoke the lease."""
        self._scheduler.stop()
        if self._lease_check is not None:
            self._lease_check.cancel()
        self._thread.join()
        self._workers.shutdown(wait=False, cancel_futures=True)
        self.lease.revoke()

    def set_readiness(self, readiness: Readiness) -> None:
        """Report a readiness to the leader immediately."""
        self._announced_readiness = readiness
        self._scheduler.expedite()

    def add_release(self, release: Release) -> None:
        """Report a release until the leader has reassigned the target."""
        self._releases.add(release)
        self._scheduler.expedite()

    def wait_until_ready(self, timeout: float) -> bool:
        """Wait for the first lease; return False on timeout."""
        return self._ready.wait(timeout)

    def _run(self) -> None:
        while self._scheduler.wait():
            self._workers.submit(self._send_heartbeat)

    def _send_heartbeat(self) -> None:
        try:
            self._exchange()
        except TransportError as error:
            _LOGGER.debug('Heartbeat got no reply: %s.', error)
        except CodecError:
            _LOGGER.exception('Invalid state update.')
        except Exception:
            _LOGGER.exception('Heartbeat failed.')

    def _exchange(self) -> None:
        heartbeat = SentHeartbeat(
            next(self._sequences),
            self.link.choose(),
            time.monotonic(),
        )
        message = self._make_heartbeat(heartbeat.sequence)
        self._scheduler.record_sent(heartbeat)
        self._metrics.count('heartbeats_total')
        try:
            reply = self.link.call(heartbeat.peer, message, _CALL_TIMEOUT_S)
        except PeerUnreachableError:
            self._scheduler.record_refusal(heartbeat, '')
            return
        self._scheduler.record_reply(heartbeat)
        elapsed_ms = (time.monotonic() - heartbeat.sent_at) * _MS_PER_S
        self._metrics.record_ms('heartbeat_ms', elapsed_ms)
        if isinstance(reply, HeartbeatReply):
            self._handle_reply(heartbeat, reply)

    def _make_heartbeat(self, sequence: int) -> Heartbeat:
        view = self._view.current()
        settings = self._settings
        is_leaving = self._announced_readiness == 'leaving'
        return Heartbeat(
            sequence=sequence,
            domain=settings.domain,
            address=_choose_address(settings),
            operator_address=settings.operator_address,
            caller_address=settings.caller_address,
            roles=settings.roles,
            readiness=self._announced_readiness,
            versions=view.versions,
            releases=self._releases.list_pending(view, is_leaving),
        )

    def _handle_reply(
        self, heartbeat: SentHeartbeat, reply: HeartbeatReply
    ) -> None:
        if not reply.granted:
            self._metrics.count('heartbeats_refused_total')
            self._scheduler.record_refusal(heartbeat, reply.leader)
            return
        self.link.mark_leader(heartbeat.peer)
        if not self._applier.covers(reply):
            self._applier.fetch(heartbeat.peer, reply)
        if self._applier.covers(reply):
            self.lease.extend(heartbeat.sent_at + reply.lease_ms / _MS_PER_S)
            if self.lease.remaining_s() > 0:
                self._ready.set()
        # The lease does not depend on the table of instances.
        self._applier.fetch(heartbeat.peer, reply)

    def _check_lease(self) -> None:
        has_lease = self.lease.remaining_s() > 0
        if has_lease == self._logged_lease:
            return
        self._logged_lease = has_lease
        if has_lease:
            _LOGGER.info('This instance has a lease.')
        else:
            self._metrics.count('leases_lost_total')
            _LOGGER.warning('The lease of this instance has expired.')
