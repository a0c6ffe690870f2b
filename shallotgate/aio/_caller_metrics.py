"""Metrics of what the callers of a server hold."""

from functools import partial

from shallotgate.aio._server import SHED_EVENTS, AsyncHttpServer
from shallotgate.metrics import Metrics


def register_caller_metrics(
    metrics: Metrics, server: AsyncHttpServer, name: str
) -> None:
    """Register what the callers of a server hold, and who was shed."""
    totals = server.totals
    metrics.register_gauge(
        'caller_connections', lambda: totals.connection_count, server=name
    )
    metrics.register_gauge(
        'caller_incomplete', lambda: totals.incomplete_count, server=name
    )
    metrics.register_gauge(
        'caller_held_bytes', lambda: totals.held_bytes, server=name
    )
    for event in SHED_EVENTS:
        metrics.register_gauge(
            'callers_shed_total',
            partial(server.events.__getitem__, event),
            server=name,
            reason=event,
        )
