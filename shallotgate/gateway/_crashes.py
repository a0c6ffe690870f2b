"""RequestContent whose requests end with crashed targets and nothing else."""

import asyncio
import hashlib
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from shallotgate.errors import TargetConnectError
from shallotgate.gateway._directory import Target
from shallotgate.generated.messages import BarContent, CrashReport
from shallotgate.logs import get_logger

_LOGGER = get_logger('crashes')
_DIGEST_BYTES = 12
# Targets lost by one request, without a reply of any, from which on nothing
# more is sent for it: as many as the tier may lose to a content.
_MANY_LOST = 3
# Lost targets of a request that are looked at.
_MAX_PROBES = 4
# Wait before a lost target is looked at, in seconds: one that has crashed
# refuses connections by then, and stays down for seconds.
_PROBE_AFTER_S = 0.05
# Longest wait for a connection to a lost target, in seconds.
_PROBE_S = 0.3
# Idle time after which the connection of a look is closed, in seconds: soon,
# as it may be one more than the target has room for.
_KEEP_S = 0.5
_MS_PER_S = 1000


@dataclass
class CrashEvidence:
    """What became of the attempts of one request."""

    # Targets whose connection broke while the request was there.
    lost: list[Target] = field(default_factory=list)
    # Whether a target has answered after it had worked on the request.
    is_survived: bool = False

    @property
    def is_suspicious(self) -> bool:
        """Whether the request may be what the lost targets crashed of."""
        return len(self.lost) >= _MANY_LOST and not self.is_survived


@dataclass(frozen=True)
class RequestContent:
    """What a request asks for, whoever asks and whenever."""

    method: bytes
    host: str
    path: bytes
    body: bytes

    def make_digest(self) -> str:
        """Return its name, equal for each time that it comes."""
        parts = (self.method, self.host.encode(), self.path)
        digest = hashlib.blake2b(self.body, digest_size=_DIGEST_BYTES)
        digest.update(b'\0'.join(parts))
        return digest.hexdigest()


class ContentBlocklist:
    """Contents that are refused, and reports on those that may have to be.

    Used on the event loop.
    """

    def __init__(self, report: Callable[[CrashReport], object]) -> None:
        """``report`` hands a message to the leader."""
        self._report = report
        # Monotonic time until which a content is refused, by digest.
        self._until: dict[str, float] = {}
        self._probes: set[asyncio.Task[None]] = set()

    def get_remaining_s(self, content: RequestContent) -> float:
        """Return for how many seconds a content is refused, 0 if it is not."""
        if not self._until:
            return 0
        digest = content.make_digest()
        left_s = self._until.get(digest, 0) - time.monotonic()
        if left_s <= 0:
            self._until.pop(digest, None)
            return 0
        return left_s

    def add(self, bar: BarContent) -> None:
        """Refuse a content for a time."""
        self._until[bar.digest] = time.monotonic() + bar.hold_ms / _MS_PER_S
        _LOGGER.warning(
            'Content refused: targets crashed of it.',
            extra={'digest': bar.digest, 'hold_ms': bar.hold_ms},
        )

    def report_crashes(
        self, content: RequestContent, watch: CrashEvidence
    ) -> None:
        """Report a request that only lost targets, if these have crashed."""
        if watch.is_survived or not watch.lost:
            return
        probe = asyncio.ensure_future(
            self._probe(content.make_digest(), tuple(watch.lost)),
        )
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)

    async def _probe(self, digest: str, lost: Sequence[Target]) -> None:
        await asyncio.sleep(_PROBE_AFTER_S)
        checks = [_is_down(target) for target in lost[:_MAX_PROBES]]
        down = await asyncio.gather(*checks)
        crashed = [
            target.listed.target
            for target, is_down in zip(lost, down, strict=False)
            if is_down
        ]
        if crashed:
            _LOGGER.info(
                'Request lost targets that are down now.',
                extra={'digest': digest, 'targets': crashed},
            )
            self._report(CrashReport(digest=digest, targets=crashed))


async def _is_down(target: Target) -> bool:
    """Return whether a target takes no connection."""
    try:
        connection = await target.pool.open(_PROBE_S)
    except TargetConnectError:
        target.record_connect_failure()
        return True
    target.pool.release(connection, _KEEP_S)
    return False
