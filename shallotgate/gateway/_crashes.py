"""Detection and blocking of request contents that crash targets."""

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
# Targets lost by one request, without any reply, from which on the request is
# not sent again. Equals the number of targets that the tier may lose to one
# content.
_SUSPICION_THRESHOLD = 3
# Lost targets of one request that are probed.
_MAX_PROBES = 4
# Delay before a lost target is probed, in seconds: a crashed one refuses
# connections by then and stays down for seconds.
_PROBE_DELAY_S = 0.05
# Connect timeout of a probe, in seconds.
_PROBE_TIMEOUT_S = 0.3
# Idle timeout of a probe connection, in seconds. It is short because the
# connection may exceed this entry's share of the target's limit.
_PROBE_IDLE_TIMEOUT_S = 0.5
_MS_PER_S = 1000


@dataclass
class CrashEvidence:
    """Results of the attempts of one request, as far as crashes matter."""

    # Targets whose connection broke while they had the request.
    lost: list[Target] = field(default_factory=list)
    # Whether a target has answered after processing the request.
    is_survived: bool = False

    @property
    def is_suspicious(self) -> bool:
        """Whether the request may have crashed the lost targets."""
        return len(self.lost) >= _SUSPICION_THRESHOLD and not self.is_survived


@dataclass(frozen=True)
class RequestContent:
    """Content of a request, independent of its caller and time."""

    method: bytes
    host: str
    path: bytes
    body: bytes

    def compute_digest(self) -> str:
        """Return a digest that is equal for equal contents."""
        parts = (self.method, self.host.encode(), self.path)
        digest = hashlib.blake2b(self.body, digest_size=_DIGEST_BYTES)
        digest.update(b'\0'.join(parts))
        return digest.hexdigest()


class ContentBlocklist:
    """Blocks contents that crash targets and reports suspects.

    Used on the event loop.
    """

    def __init__(self, report: Callable[[CrashReport], object]) -> None:
        """``report`` sends a message to the leader."""
        self._report = report
        # Monotonic time until which a content is blocked, by digest.
        self._blocked_until: dict[str, float] = {}
        self._probes: set[asyncio.Task[None]] = set()

    def get_remaining_s(self, content: RequestContent) -> float:
        """Return the seconds for which a content stays blocked, or 0."""
        if not self._blocked_until:
            return 0
        digest = content.compute_digest()
        remaining_s = self._blocked_until.get(digest, 0) - time.monotonic()
        if remaining_s <= 0:
            self._blocked_until.pop(digest, None)
            return 0
        return remaining_s

    def add(self, bar: BarContent) -> None:
        """Block a content for a limited time."""
        self._blocked_until[bar.digest] = (
            time.monotonic() + bar.hold_ms / _MS_PER_S
        )
        _LOGGER.warning(
            'Content refused: targets crashed of it.',
            extra={'digest': bar.digest, 'hold_ms': bar.hold_ms},
        )

    def report_crashes(
        self, content: RequestContent, evidence: CrashEvidence
    ) -> None:
        """Report a request whose lost targets have crashed.

        Does nothing if any target has answered it.
        """
        if evidence.is_survived or not evidence.lost:
            return
        probe = asyncio.ensure_future(
            self._probe(content.compute_digest(), tuple(evidence.lost)),
        )
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)

    async def _probe(self, digest: str, lost: Sequence[Target]) -> None:
        await asyncio.sleep(_PROBE_DELAY_S)
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
    """Return whether a target does not accept connections."""
    try:
        connection = await target.pool.open(_PROBE_TIMEOUT_S)
    except TargetConnectError:
        target.record_connect_failure()
        return True
    target.pool.release(connection, _PROBE_IDLE_TIMEOUT_S)
    return False
