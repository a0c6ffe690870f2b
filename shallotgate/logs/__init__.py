"""JSON lines, with a fixed prefix for each part."""

from shallotgate.logs._json import PartLogger, configure_logs, get_logger
from shallotgate.logs._stream import DroppingStream

__all__ = (
    'DroppingStream',
    'PartLogger',
    'configure_logs',
    'get_logger',
)
