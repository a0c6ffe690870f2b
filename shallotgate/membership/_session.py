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
from shallotgate.membership._lease import LeaseHolder
from shallotgate.membership._link import ControlLink, DirectLink
from shallotgate.membership._pacer import Beat, Pacer
from shallotgate.membership._releases import ReleaseList
from shallotgate.membership._view import TierView
from shallotgate.metrics import Metrics
from shallotgate.timers import Subscription, TimerService
from shallotgate.transport import Mailbox

_LOGGER = get_logger('membership')

Readiness = Literal['starting', 'ready', 'leaving']

# A later reply is not worth waiting for: the lease is 4 s.
_CALL_S = 2.0
# Heartbeats under way at once, also while a new leader is searched for.
_WORKERS = 8
_WATCH_S = 0.5
_MS_PER_S = 1000


def _choose_address(settings: Settings) -> str:
    if settings.advertised_address.endswith(':0'):
        return settings.peer_address
    return settings.advertised_address


class Session:
    """Keeps this instance in the tier.

    Heartbeats have threads of their own, so that neither queries nor timer
    callbacks can hold them up.
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
        self._announced: Readiness = 'starting'
        self._releases = ReleaseList()
        self._applier = StateApplier(
            self.link,
            mailbox,
            tier_view,
            self._releases,
        )
        self._sequences = itertools.count(1)
        generator = random.Random(f'{settings.seed}{start_id}')  # noqa: S311
        self._pacer = Pacer(self.link, generator)
        self._ready = threading.Event()
        # What was last logged of the lease.
        self._had_lease = False
        self._watch: Subscription | None = None
        self._workers = ThreadPoolExecutor(_WORKERS, 'heartbeat')
        self._thread = threading.Thread(
            target=self._run,
            name='session',
            daemon=True,
        )

    def start(self) -> None:
        """Learn the members' addresses and start to send heartbeats."""
        for member in self._settings.control_members:
            self._mailbox.set_address(member.instance, member.address)
        self._metrics.register_gauge(
            'lease_remaining_s', self.lease.remaining_s
        )
        self._watch = self._timers.call_every(_WATCH_S, self._watch_lease)
        self._thread.start()

    def stop(self) -> None:
        """Stop heartbeats and give the lease up."""
        self._pacer.stop()
        if self._watch is not None:
            self._watch.cancel()
        self._thread.join()
        self._workers.shutdown(wait=False, cancel_futures=True)
        self.lease.give_up()

    def set_readiness(self, readiness: Readiness) -> None:
        """Tell the leader at once."""
        self._announced = readiness
        self._pacer.hurry()

    def add_release(self, release: Release) -> None:
        """Tell the leader, at once and until it has granted the target on."""
        self._releases.add(release)
        self._pacer.hurry()

    def wait_until_ready(self, timeout: float) -> bool:
        """Wait for the first lease; return whether it came in time."""
        return self._ready.wait(timeout)

    def _run(self) -> None:
        while self._pacer.wait():
            self._workers.submit(self._beat)

    def _beat(self) -> None:
        try:
            self._exchange()
        except TransportError as error:
            _LOGGER.debug('No reply to a heartbeat: %s.', error)
        except CodecError:
            _LOGGER.exception('A state update is invalid.')
        except Exception:
            _LOGGER.exception('A heartbeat failed.')

    def _exchange(self) -> None:
        beat = Beat(
            next(self._sequences),
            self.link.choose(),
            time.monotonic(),
        )
        message = self._make_heartbeat(beat.sequence)
        self._pacer.note_sent(beat)
        self._metrics.count('heartbeats_total')
        try:
            reply = self.link.call(beat.peer, message, _CALL_S)
        except PeerUnreachableError:
            self._pacer.note_refused(beat, '')
            return
        self._pacer.note_answered(beat)
        elapsed_ms = (time.monotonic() - beat.sent_at) * _MS_PER_S
        self._metrics.record_ms('heartbeat_ms', elapsed_ms)
        if isinstance(reply, HeartbeatReply):
            self._take(beat, reply)

    def _make_heartbeat(self, sequence: int) -> Heartbeat:
        view = self._view.current()
        settings = self._settings
        is_leaving = self._announced == 'leaving'
        return Heartbeat(
            sequence=sequence,
            domain=settings.domain,
            address=_choose_address(settings),
            operator_address=settings.operator_address,
            caller_address=settings.caller_address,
            roles=settings.roles,
            readiness=self._announced,
            versions=view.versions,
            releases=self._releases.list_open(view, is_leaving),
        )

    def _take(self, beat: Beat, reply: HeartbeatReply) -> None:
        if not reply.granted:
            self._metrics.count('heartbeats_refused_total')
            self._pacer.note_refused(beat, reply.leader)
            return
        self.link.mark_leader(beat.peer)
        if not self._applier.covers(reply):
            self._applier.fetch(beat.peer, reply)
        if self._applier.covers(reply):
            self.lease.extend(beat.sent_at + reply.lease_ms / _MS_PER_S)
            if self.lease.remaining_s() > 0:
                self._ready.set()
        # The table of instances is not part of what the lease waits for.
        self._applier.fetch(beat.peer, reply)

    def _watch_lease(self) -> None:
        has_lease = self.lease.remaining_s() > 0
        if has_lease == self._had_lease:
            return
        self._had_lease = has_lease
        if has_lease:
            _LOGGER.info('This instance has a lease.')
        else:
            self._metrics.count('leases_lost_total')
            _LOGGER.warning('The lease of this instance has run out.')
