"""Threads of one pool: one for each connection."""

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
from shallotgate.targets._work import Outcome, Work

_LOGGER = get_logger('targets')
_MS_PER_S = 1000
# After the connection of a cancelled or late attempt was closed, its slot is
# kept this long, so that the target notices before the next attempt arrives.
_SETTLE_S = 0.002
# Longest time in which a target is not observed. With jitter and a time-out it
# stays below the time after which a claimed drain takes effect at once.
_REPORT_PERIOD_S = 2.0
_LOST_REPORT_PERIOD_S = 0.25
_REPORT_JITTER_S = 0.25
_REPORT_TIMEOUT_S = 1.0
# A target that accepts a single connection has none to spare for reports.
_CONNECTIONS_WITH_REPORTS = 2


def serve_connection(pool: TargetPool) -> None:
    """Open a connection and run attempts on it until it must be closed."""
    connection: TargetConnection | None = None
    try:
        connection = pool.link.connect()
    finally:
        start_id = pool.note_connected(connection is not None)
    if connection is None:
        return
    try:
        _serve(pool, connection, start_id)
    finally:
        connection.close()


def poll_reports(pool: TargetPool) -> None:
    """Read the report of a target on a connection of its own.

    Replies carry the same report, so that a target with recent replies is not
    asked.
    """
    connection: TargetConnection | None = None
    while not pool.closing.is_set():
        unobserved_s = _measure_unobserved_s(pool)
        if unobserved_s >= _REPORT_PERIOD_S:
            connection = _poll(pool, connection)
            unobserved_s = 0
        period_s = _REPORT_PERIOD_S - unobserved_s
        if pool.core.is_lost:
            period_s = _LOST_REPORT_PERIOD_S
        jitter = random.uniform(0, _REPORT_JITTER_S)  # noqa: S311
        pool.closing.wait(period_s + jitter)
    if connection is not None:
        connection.close()


def _measure_unobserved_s(pool: TargetPool) -> float:
    """Return the seconds since the last reply; infinite for a lost target."""
    if pool.core.is_lost:
        return math.inf
    return time.monotonic() - pool.core.seen.reply_at


def _poll(
    pool: TargetPool,
    connection: TargetConnection | None,
) -> TargetConnection | None:
    if pool.target.connections < _CONNECTIONS_WITH_REPORTS:
        _probe(pool)
        return None
    if connection is None:
        return pool.link.connect()
    try:
        pool.link.see_report(connection.read_report(_REPORT_TIMEOUT_S))
    except TargetError:
        # The next poll opens a connection and shows whether it is lost.
        connection.close()
        return None
    return connection


def _probe(pool: TargetPool) -> None:
    """Find out whether a target without a spare connection is back."""
    if pool.core.is_lost:
        connection = pool.link.connect()
        if connection is not None:
            connection.close()


def _serve(
    pool: TargetPool,
    connection: TargetConnection,
    start_id: str,
) -> None:
    reusable = True
    while reusable:
        work = pool.take(start_id)
        if work is None:
            return
        reusable = _handle(pool, connection, work)


def _handle(
    pool: TargetPool,
    connection: TargetConnection,
    work: Work,
) -> bool:
    """Run one attempt; returns whether the connection may be used again."""
    if not pool.attach(work, connection):
        pool.requeue(work)
        return True
    left_s = work.deadline - time.monotonic()
    try:
        reply = connection.run(work.attempt, left_s)
    except TargetConnectError:
        pool.requeue(work)
        return False
    except Exception as error:
        _abandon(pool, connection, work, error)
        return False
    if time.monotonic() > work.deadline:
        late = TargetTimeoutError('the reply came after the deadline')
        _abandon(pool, connection, work, late)
        return False
    if work.attempt.trial and _was_run(reply):
        pool.link.judge(work, lost=False)
    cancelled = pool.complete(work, _judge_reply(work, reply))
    return not cancelled


def _abandon(
    pool: TargetPool,
    connection: TargetConnection,
    work: Work,
    error: Exception,
) -> None:
    """End an attempt whose exchange failed, and its connection."""
    connection.close()
    service_ms = _measure_ms(work)
    lost = False
    if work.attempt.trial or _is_broken(work, error):
        lost = pool.link.confirm_loss(work)
    if work.attempt.trial:
        pool.link.judge(work, lost=lost)
    outcome = _judge_error(work, error, lost, service_ms)
    pool.answer(work, outcome)
    if outcome.status != 'lost':
        time.sleep(_SETTLE_S)
    pool.complete(work, outcome)


def _is_broken(work: Work, error: Exception) -> bool:
    is_overdue = time.monotonic() >= work.deadline
    closed_here = work.cancelled or is_overdue
    return isinstance(error, TargetLostError) and not closed_here


def _judge_error(
    work: Work,
    error: Exception,
    lost: bool,
    service_ms: float,
) -> Outcome:
    if lost:
        return Outcome('lost', 'target_lost', service_ms=service_ms)
    if work.cancelled:
        return Outcome('cancelled', service_ms=service_ms)
    if isinstance(error, TargetProtocolError):
        _LOGGER.warning(
            'Invalid reply: %s.',
            error,
            extra={'target': work.attempt.target},
        )
        return Outcome('failed', 'bad_reply', service_ms=service_ms)
    is_overdue = time.monotonic() >= work.deadline
    if isinstance(error, TargetTimeoutError) or is_overdue:
        return Outcome('timeout', service_ms=service_ms)
    if isinstance(error, TargetLostError):
        return Outcome('lost', 'connection_lost', service_ms=service_ms)
    _LOGGER.error(
        'An exchange failed.',
        exc_info=error,
        extra={'target': work.attempt.target},
    )
    return Outcome('failed', 'internal', service_ms=service_ms)


def _judge_reply(work: Work, reply: TargetReply) -> Outcome:
    service_ms = _measure_ms(work)
    if reply.status == 'ok':
        return Outcome('ok', reply=reply, service_ms=service_ms)
    if reply.status == 'wrong_version':
        return Outcome('wrong_version', reply=reply, service_ms=service_ms)
    if _was_run(reply):
        return Outcome('failed', 'target_failed', reply, service_ms)
    return Outcome('not_run', reply.status, reply, service_ms)


def _was_run(reply: TargetReply) -> bool:
    return reply.status in {'ok', 'failed'}


def _measure_ms(work: Work) -> float:
    return (time.monotonic() - work.dispatched_at) * _MS_PER_S
