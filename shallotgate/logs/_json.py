"""JSON log lines with a prefix for each part."""

import logging
import sys
from collections.abc import MutableMapping
from typing import Any, Protocol

from pythonjsonlogger.msgspec import MsgspecFormatter

_FIELDS = '%(asctime)s %(levelname)s %(message)s'


class LogStream(Protocol):
    """Where log lines go."""

    def write(self, text: str, /) -> object:
        """Write a text."""

    def flush(self) -> object:
        """Hand on what was written."""


class ComponentLogger(logging.LoggerAdapter[logging.Logger]):
    """Logger that puts the name of its part before each message.

    Keyword ``extra`` adds fields, for instance the request's id.
    """

    def process(
        self,
        msg: Any,
        kwargs: MutableMapping[str, Any],
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Add the prefix."""
        extra = self.extra or {}
        return f'{extra["part"]}: {msg}', kwargs


def get_logger(part: str) -> ComponentLogger:
    """Return the logger of a part.

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
    """Send JSON lines to a stream, each with the instance's id.

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
    for former in tuple(root.handlers):
        root.removeHandler(former)
    root.addHandler(handler)
    root.setLevel(level.upper())
    root.propagate = False
