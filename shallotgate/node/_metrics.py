"""Metrics endpoint of a process."""

from shallotgate.aio import AsyncHttpServer, IncomingRequest, Response
from shallotgate.metrics import Metrics
from shallotgate.node._caller_limits import AUXILIARY_TOTALS


def make_metrics_server(
    address: str,
    metrics: Metrics,
) -> AsyncHttpServer | None:
    """Return the metrics server, or None without an address."""
    if not address:
        return None

    async def render(request: IncomingRequest) -> Response:  # noqa: WPS430
        return Response(
            200,
            metrics.render().encode(),
            ((b'Content-Type', b'text/plain; version=0.0.4'),),
        )

    return AsyncHttpServer(address, render, totals=AUXILIARY_TOTALS)
