"""JSON lines, with a fixed prefix for each part."""

from shallotgate.logs._json import PartLogger, configure_logs, get_logger

__all__ = ('PartLogger', 'configure_logs', 'get_logger')
