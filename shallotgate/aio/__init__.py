"""HTTP/1.1 over asyncio: a server for callers and connections to targets."""

from shallotgate.aio._caller_metrics import register_caller_metrics
from shallotgate.aio._caller_totals import TotalLimits
from shallotgate.aio._callers import confirm_caller
from shallotgate.aio._message import (
    Handler,
    Headers,
    IncomingRequest,
    Response,
    ServerLimits,
)
from shallotgate.aio._reply_limits import ReplyBuffer, ReplyLimits
from shallotgate.aio._server import SHED_EVENTS, AsyncHttpServer, refuse_request
from shallotgate.aio._target_connection import Reply, TargetConnection

__all__ = (
    'SHED_EVENTS',
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
    'TotalLimits',
    'confirm_caller',
    'refuse_request',
    'register_caller_metrics',
)
