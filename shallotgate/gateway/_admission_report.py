"""Log lines and metrics of the admission of requests."""

import time
from collections import Counter
from collections.abc import Collection

from shallotgate.admission import Decision
from shallotgate.gateway._call import Call
from shallotgate.logs import get_logger
from shallotgate.metrics import Metrics

_LOGGER = get_logger('admission')
# Seconds without a refusal after which a service counts as open again.
_QUIET_S = 2.0
# Maximum log lines per second; the rest is counted.
_MAX_LOGGED_PER_S = 5
# Services with a gauge at most; a tier has several tens.
_MAX_GAUGES = 256
# Age in seconds from which the pressure of a decision is reported as 0.
_PRESSURE_VALID_S = 5.0
# Upper bound of logged figures: JSON has no infinity, which an unknown age and
# the duration without a target are.
_MAX_LOGGED = 1e6


class _RefusalPeriod:
    """Refusals because of one service since it last was open."""

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.refused_at = now
        # Refusals by reason and priority.
        self.counts: Counter[str] = Counter()


class AdmissionReporter:
    """Logs when services start and stop to cause refusals, and counts them."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._periods: dict[str, _RefusalPeriod] = {}
        # Pressure of the last decision by service, and its time.
        self._pressures: dict[str, tuple[float, float]] = {}
        self._gauges: set[str] = set()
        self._second = 0
        self._logged = 0
        self._left_out = 0

    def record(self, call: Call, decision: Decision, now: float) -> None:
        """Record a decision."""
        service = decision.shard.service
        self._record_pressure(service, decision.shard.pressure, now)
        if decision.is_admitted:
            self._end_quiet_periods(now)
            return
        priority = str(call.priority)
        self._metrics.count(
            'admission_refused_total', reason=decision.reason, priority=priority
        )
        call.trace.add('refused', reason=decision.reason, **_describe(decision))
        period = self._periods.get(service)
        if period is None:
            period = _RefusalPeriod(now)
            self._periods[service] = period
            self._log(
                'Requests are refused.',
                now,
                reason=decision.reason,
                route=call.route.name,
                priority=call.priority,
                account='' if call.account is None else call.account.name,
                **_describe(decision),
            )
        period.refused_at = now
        period.counts[f'{decision.reason}/{priority}'] += 1

    def retain(self, services: Collection[str]) -> None:
        """Forget services that no longer exist."""
        for service in self._periods.keys() - set(services):
            self._periods.pop(service)
        for service in self._pressures.keys() - set(services):
            self._pressures.pop(service)

    def _end_quiet_periods(self, now: float) -> None:
        quiet = [
            (service, period)
            for service, period in self._periods.items()
            if now - period.refused_at > _QUIET_S
        ]
        for service, period in quiet:
            self._periods.pop(service)
            self._log(
                'Requests are no longer refused.',
                now,
                service=service,
                duration_s=round(period.refused_at - period.started_at, 1),
                refused=dict(period.counts),
            )

    def _record_pressure(
        self, service: str, pressure: float, now: float
    ) -> None:
        self._pressures[service] = (pressure, now)
        if service in self._gauges or len(self._gauges) >= _MAX_GAUGES:
            return
        self._gauges.add(service)
        self._metrics.register_gauge(
            'admission_pressure',
            lambda: self._read_pressure(service),
            service=service,
        )

    def _read_pressure(self, service: str) -> float:
        pressure, at = self._pressures.get(service, (0, 0))
        return pressure if time.monotonic() - at < _PRESSURE_VALID_S else 0

    def _log(self, message: str, now: float, **extra: object) -> None:
        if int(now) != self._second:
            self._second = int(now)
            self._logged = 0
        self._logged += 1
        if self._logged > _MAX_LOGGED_PER_S:
            self._left_out += 1
            return
        _LOGGER.info(message, extra={**extra, 'left_out': self._left_out})
        self._left_out = 0


def _describe(decision: Decision) -> dict[str, object]:
    shard = decision.shard
    return {
        'service': shard.service,
        'pressure': round(shard.pressure, 2),
        'refused_part': round(decision.refused_part, 2),
        'usage_difference': round(decision.usage_difference, 2),
        'occupancy': round(shard.occupancy, 2),
        'slowness': round(shard.slowness, 2),
        'expected_ms': round(min(shard.expected_ms, _MAX_LOGGED)),
        'age_s': round(min(shard.age_s, _MAX_LOGGED), 2),
    }
