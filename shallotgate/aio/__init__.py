"""HTTP/1.1 over asyncio: a server for callers and connections to targets."""

from shallotgate.aio._callers import confirm_caller
from shallotgate.aio._message import Headers, IncomingRequest, Response
from shallotgate.aio._reply_limits import ReplyBuffer, ReplyLimits
from shallotgate.aio._server import AsyncHttpServer, Handler, ServerLimits
from shallotgate.aio._target_connection import Reply, TargetConnection

__all__ = (
    'AsyncHttpServer',
    'Handler',
    'Headers',
    'IncomingRequest',
    'Reply',
    'ReplyBuffer',
    'ReplyLimits',
    'Response',
    'ServerLimits',
    'TargetConnection',
    'confirm_caller',
)
