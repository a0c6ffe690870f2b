"""Changes of the group that wait, for logs and operators."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from shallotgate.consensus._membership_policy import MembershipChange
from shallotgate.consensus._status import MembershipWait
from shallotgate.logs import get_logger

_LOGGER = get_logger('consensus')
# Waits are reported from this age on; a member usually catches up within it.
_REPORT_AFTER_S = 1.0
# Interval between two reports of the same wait.
_REPORT_INTERVAL_S = 10.0


@dataclass(frozen=True)
class _Wait:
    reason: str
    # Lease clock times of the begin and of the next report.
    since: float
    report_at: float


class MembershipWaits:
    """Tells which changes wait, for whom, why and since when."""

    def __init__(self) -> None:
        self._waits: dict[tuple[str, str], _Wait] = {}

    def update(self, waiting: Iterable[MembershipChange], now: float) -> None:
        """Replace the waits by those of a new plan, as of lease clock time."""
        former = self._waits
        waits: dict[tuple[str, str], _Wait] = {}
        for change in waiting:
            key = (change.action, change.instance)
            wait = former.get(key) or _Wait(
                change.obstacle, now, now + _REPORT_AFTER_S
            )
            if now >= wait.report_at:
                wait = replace(wait, report_at=now + _REPORT_INTERVAL_S)
                _LOGGER.info(
                    'Membership change waits.',
                    extra={
                        'action': change.action,
                        'member': change.instance,
                        'reason': change.obstacle,
                        'waiting_s': round(now - wait.since, 3),
                    },
                )
            waits[key] = replace(wait, reason=change.obstacle)
        # Other threads read it.
        self._waits = waits

    def list_waits(self, now: float) -> tuple[MembershipWait, ...]:
        """Return the waits as of lease clock time, the most urgent first."""
        return tuple(
            MembershipWait(action, instance, wait.reason, now - wait.since)
            for (action, instance), wait in self._waits.items()
        )

    def explain(self, instance: str) -> str:
        """Return why an instance waits; empty if it does not."""
        reasons = [
            wait.reason
            for (_, waiting), wait in self._waits.items()
            if waiting == instance
        ]
        return next(iter(reasons), '')
