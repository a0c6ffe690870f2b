"""JSON log lines, prefixed with the component name."""

from shallotgate.logs._json import ComponentLogger, configure_logs, get_logger
from shallotgate.logs._stream import NonBlockingStream

__all__ = (
    'ComponentLogger',
    'NonBlockingStream',
    'configure_logs',
    'get_logger',
)
