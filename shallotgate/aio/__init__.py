"""HTTP/1.1 over asyncio: a server for callers and links to targets."""

from shallotgate.aio._message import Headers, IncomingRequest, Response
from shallotgate.aio._server import AsyncHttpServer, Handler, ServerLimits
from shallotgate.aio._target_connection import Reply, TargetLink

__all__ = (
    'AsyncHttpServer',
    'Handler',
    'Headers',
    'IncomingRequest',
    'Reply',
    'Response',
    'ServerLimits',
    'TargetLink',
)
