"""Log lines and metrics of requests."""

import time
from collections.abc import Iterator
from contextlib import contextmanager

from shallotgate.gateway._call import Call
from shallotgate.logs import get_logger
from shallotgate.metrics import Metrics

_LOGGER = get_logger('request')
_MS_PER_S = 1000
# One in this many successful requests is logged.
_SAMPLE_INTERVAL = 200
# Maximum logged requests per second; the rest is counted.
_MAX_LOGGED_PER_S = 50
# The same for requests refused for lack of a known key, which a single caller
# may send at any rate; they must not displace the others.
_MAX_LOGGED_UNAUTHENTICATED_PER_S = 5
# Accounts with a counter of their own in the lifetime of a process; requests of
# others share one.
_MAX_COUNTED_ACCOUNTS = 1000


class _LogLimit:
    """Limits the logged requests of a second."""

    def __init__(self, max_per_s: int) -> None:
        self._max_per_s = max_per_s
        self._second = 0
        self._logged = 0

    def acquire(self) -> bool:
        """Return whether one more request may be logged."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._logged = 0
        self._logged += 1
        return self._logged <= self._max_per_s


class RequestObservation:
    """Final status of a request."""

    def __init__(self) -> None:
        # 0 if the caller disconnected before the answer.
        self.status = 0

    def conclude(self, status: int) -> None:
        """Set the status of the answer."""
        self.status = status


class RequestReporter:
    """Logs notable requests and maintains request metrics.

    Requests that failed, were late or got a partial answer are logged with all
    decisions, up to a rate limit, and so is a sample of the others.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        # Accounts that have a counter.
        self._accounts: set[str] = set()
        self._requests = 0
        self._limit = _LogLimit(_MAX_LOGGED_PER_S)
        self._unauthenticated_limit = _LogLimit(
            _MAX_LOGGED_UNAUTHENTICATED_PER_S
        )
        self._left_out = 0

    @property
    def metrics(self) -> Metrics:
        """Metrics of the entry."""
        return self._metrics

    def count(self, event: str, **labels: str) -> None:
        """Increment the counter of an event."""
        self._metrics.count(f'gateway_{event}_total', 1, **labels)

    def count_account(self, name: str | None) -> None:
        """Count a request by its account; None is a public request."""
        if name is None:
            self.count('public_requests')
            return
        if name not in self._accounts:
            if len(self._accounts) >= _MAX_COUNTED_ACCOUNTS:
                self.count('account_requests_left_out')
                return
            self._accounts.add(name)
        self.count('account_requests', account=name)

    def count_version_reply(
        self, service: str, version: str, route: str, outcome: str
    ) -> None:
        """Count a reply of a target during a rollout or after it."""
        self._metrics.count(
            'version_replies_total',
            service=service,
            version=version,
            route=route,
            outcome=outcome,
        )

    @contextmanager
    def observe(self, call: Call) -> Iterator[RequestObservation]:
        """Report the request at the end of the block."""
        observation = RequestObservation()
        try:
            yield observation
        finally:
            self._report(call, observation.status)

    def _report(self, call: Call, status: int) -> None:
        duration_ms = (time.monotonic() - call.received_at) * _MS_PER_S
        self._metrics.record_ms(
            'answer_ms',
            duration_ms,
            route=call.route.name,
        )
        self._metrics.count(
            'answers_total',
            route=call.route.name,
            status=str(status),
        )
        self._requests += 1
        is_routine = (
            0 < status < 300
            and duration_ms <= call.route.objective_ms
            and not call.trace.is_notable
        )
        is_sampled = not self._requests % _SAMPLE_INTERVAL
        if (is_sampled or not is_routine) and self._acquire_log_slot(call):
            self._log(call, status, duration_ms)

    def _acquire_log_slot(self, call: Call) -> bool:
        limit = self._limit
        if call.trace.is_unauthenticated:
            limit = self._unauthenticated_limit
        if limit.acquire():
            return True
        self._left_out += 1
        self.count('log_left_out')
        return False

    def _log(self, call: Call, status: int, duration_ms: float) -> None:
        _LOGGER.info(
            'Answered.' if status else 'Caller left.',
            extra={
                'request_id': call.caller.request_id.decode('latin-1'),
                'route': call.route.name,
                'account': call.account.name if call.account else '',
                'table_version': call.version,
                'time_allowed_ms': round(
                    (call.deadline - call.received_at) * _MS_PER_S,
                ),
                'status': status,
                'duration_ms': round(duration_ms, 1),
                'objective_ms': call.route.objective_ms,
                'steps': call.trace.list_steps(),
                'steps_left_out': call.trace.left_out,
                'left_out': self._left_out,
            },
        )
        self._left_out = 0
