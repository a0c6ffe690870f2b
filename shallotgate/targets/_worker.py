"""Worker threads of a pool, one per connection, and the report poller."""

import math
import random
import time

from shallotgate.errors import (
    TargetConnectError,
    TargetError,
    TargetLostError,
    TargetProtocolError,
    TargetTimeoutError,
)
from shallotgate.logs import get_logger
from shallotgate.targets._connector import TargetConnection, TargetReply
from shallotgate.targets._pool import TargetPool
from shallotgate.targets._task import AttemptTask, Outcome

_LOGGER = get_logger('targets')
_MS_PER_S = 1000
# Delay between closing the connection of a cancelled or late attempt and
# releasing its slot, so that the target notices before it gets the next
# attempt.
_SLOT_RELEASE_DELAY_S = 0.002
# Maximum time without an observation of the target. Including jitter and the
# read timeout it is shorter than the time after which a reported drain takes
# effect at once.
_REPORT_PERIOD_S = 2.0
_LOST_REPORT_PERIOD_S = 0.25
_REPORT_JITTER_S = 0.25
_REPORT_TIMEOUT_S = 1.0
# A target that accepts a single connection has none left for reports.
_MIN_CONNECTIONS_FOR_REPORTS = 2


def serve_connection(pool: TargetPool) -> None:
    """Open a connection and run attempts on it until it must be closed."""
    connection: TargetConnection | None = None
    try:
        connection = pool.connection_manager.connect()
    finally:
        start_id = pool.finish_connecting(connection is not None)
    if connection is None:
        return
    try:
        _run_attempts(pool, connection, start_id)
    finally:
        connection.close()


def poll_reports(pool: TargetPool) -> None:
    """Poll the reports of a target on a dedicated connection.

    Replies contain the same report, so a target that replied recently is not
    polled.
    """
    connection: TargetConnection | None = None
    while not pool.closing.is_set():
        unobserved_s = _measure_unobserved_s(pool)
        if unobserved_s >= _REPORT_PERIOD_S:
            connection = _poll_report(pool, connection)
            unobserved_s = 0
        period_s = _REPORT_PERIOD_S - unobserved_s
        if pool.core.is_unreachable:
            period_s = _LOST_REPORT_PERIOD_S
        jitter = random.uniform(0, _REPORT_JITTER_S)  # noqa: S311
        pool.closing.wait(period_s + jitter)
    if connection is not None:
        connection.close()


def _measure_unobserved_s(pool: TargetPool) -> float:
    """Return the seconds since the last reply.

    Infinite for an unreachable target.
    """
    if pool.core.is_unreachable:
        return math.inf
    return time.monotonic() - pool.core.observation.reply_at


def _poll_report(
    pool: TargetPool,
    connection: TargetConnection | None,
) -> TargetConnection | None:
    if pool.target.connections < _MIN_CONNECTIONS_FOR_REPORTS:
        _check_reachable(pool)
        return None
    if connection is None:
        return pool.connection_manager.connect()
    try:
        pool.connection_manager.observe_report(
            connection.read_report(_REPORT_TIMEOUT_S)
        )
    except TargetError:
        # The next poll opens a connection, which shows whether the target is
        # reachable.
        connection.close()
        return None
    return connection


def _check_reachable(pool: TargetPool) -> None:
    """Check whether an unreachable target accepts connections again.

    Used for targets without a spare connection for reports.
    """
    if pool.core.is_unreachable:
        connection = pool.connection_manager.connect()
        if connection is not None:
            connection.close()


def _run_attempts(
    pool: TargetPool,
    connection: TargetConnection,
    start_id: str,
) -> None:
    reusable = True
    while reusable:
        task = pool.next_task(start_id)
        if task is None:
            return
        reusable = _run_attempt(pool, connection, task)


def _run_attempt(
    pool: TargetPool,
    connection: TargetConnection,
    task: AttemptTask,
) -> bool:
    """Run one attempt; returns whether the connection can be reused."""
    if not pool.begin_dispatch(task, connection):
        pool.requeue(task)
        return True
    remaining_s = task.deadline - time.monotonic()
    try:
        reply = connection.run(task.attempt, remaining_s)
    except TargetConnectError:
        pool.requeue(task)
        return False
    except Exception as error:
        _finish_failed(pool, connection, task, error)
        return False
    if time.monotonic() > task.deadline:
        late = TargetTimeoutError('reply received after the deadline')
        _finish_failed(pool, connection, task, late)
        return False
    if task.attempt.trial and _was_run(reply):
        pool.connection_manager.record_trial(task, lost=False)
    cancelled = pool.complete(task, _classify_reply(task, reply))
    return not cancelled


def _finish_failed(
    pool: TargetPool,
    connection: TargetConnection,
    task: AttemptTask,
    error: Exception,
) -> None:
    """Complete an attempt whose exchange failed and close its connection."""
    connection.close()
    service_ms = _measure_service_ms(task)
    lost = False
    if task.attempt.trial or _is_connection_broken(task, error):
        lost = pool.connection_manager.confirm_loss(task)
    if task.attempt.trial:
        pool.connection_manager.record_trial(task, lost=lost)
    outcome = _classify_error(task, error, lost, service_ms)
    pool.send_reply(task, outcome)
    if outcome.status != 'lost':
        time.sleep(_SLOT_RELEASE_DELAY_S)
    pool.complete(task, outcome)


def _is_connection_broken(task: AttemptTask, error: Exception) -> bool:
    is_overdue = time.monotonic() >= task.deadline
    closed_locally = task.cancelled or is_overdue
    return isinstance(error, TargetLostError) and not closed_locally


def _classify_error(
    task: AttemptTask,
    error: Exception,
    lost: bool,
    service_ms: float,
) -> Outcome:
    if lost:
        return Outcome('lost', 'target_lost', service_ms=service_ms)
    if task.cancelled:
        return Outcome('cancelled', service_ms=service_ms)
    if isinstance(error, TargetProtocolError):
        _LOGGER.warning(
            'Invalid reply: %s.',
            error,
            extra={'target': task.attempt.target},
        )
        return Outcome('failed', 'bad_reply', service_ms=service_ms)
    is_overdue = time.monotonic() >= task.deadline
    if isinstance(error, TargetTimeoutError) or is_overdue:
        return Outcome('timeout', service_ms=service_ms)
    if isinstance(error, TargetLostError):
        return Outcome('lost', 'connection_lost', service_ms=service_ms)
    _LOGGER.error(
        'Unexpected error while running an attempt.',
        exc_info=error,
        extra={'target': task.attempt.target},
    )
    return Outcome('failed', 'internal', service_ms=service_ms)


def _classify_reply(task: AttemptTask, reply: TargetReply) -> Outcome:
    service_ms = _measure_service_ms(task)
    if reply.status == 'ok':
        return Outcome('ok', reply=reply, service_ms=service_ms)
    if reply.status == 'wrong_version':
        return Outcome('wrong_version', reply=reply, service_ms=service_ms)
    if _was_run(reply):
        return Outcome('failed', 'target_failed', reply, service_ms)
    return Outcome('not_run', reply.status, reply, service_ms)


def _was_run(reply: TargetReply) -> bool:
    return reply.status in {'ok', 'failed'}


def _measure_service_ms(task: AttemptTask) -> float:
    return (time.monotonic() - task.dispatched_at) * _MS_PER_S
