"""JSON log lines, prefixed with the component name."""

import logging
import sys
from collections.abc import MutableMapping
from typing import Any, Protocol

from pythonjsonlogger.msgspec import MsgspecFormatter

_FIELDS = '%(asctime)s %(levelname)s %(message)s'


class LogStream(Protocol):
    """Destination of log lines."""

    def write(self, text: str, /) -> object:
        """Write a text."""

    def flush(self) -> object:
        """Flush buffered text."""


class ComponentLogger(logging.LoggerAdapter[logging.Logger]):
    """Logger that prefixes each message with the name of its component.

    Keyword ``extra`` adds fields, for example the request id.
    """

    def process(
        self,
        msg: Any,
        kwargs: MutableMapping[str, Any],
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Prefix the message with the component name."""
        extra = self.extra or {}
        return f'{extra["part"]}: {msg}', kwargs


def get_logger(part: str) -> ComponentLogger:
    """Return the logger of a component.

    >>> get_logger('targets').process('Connected.', {})[0]
    'targets: Connected.'
    """
    return ComponentLogger(
        logging.getLogger(f'shallotgate.{part}'), {'part': part}
    )


def configure_logs(
    level: str,
    instance: str,
    stream: LogStream = sys.stderr,
) -> None:
    """Log JSON lines to a stream, each with the instance id.

    ``level`` is one of debug, info, warning and error.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        MsgspecFormatter(
            _FIELDS,
            rename_fields={'asctime': 'time', 'levelname': 'level'},
            static_fields={'instance': instance},
        ),
    )
    root = logging.getLogger('shallotgate')
    for handler_to_remove in tuple(root.handlers):
        root.removeHandler(handler_to_remove)
    root.addHandler(handler)
    root.setLevel(level.upper())
    root.propagate = False
