"""Checks that the standard library leaves out when it reads a response."""

from email.message import Message
from http.client import (
    BadStatusLine,
    HTTPException,
    HTTPResponse,
    parse_headers,
)

_FIRST_FINAL_STATUS = 200
# Without 101, after which the connection carries another protocol.
_STATUSES = frozenset(range(100, 600)) - {101}
_VERSIONS = frozenset(('HTTP/1.0', 'HTTP/1.1'))


class StrictResponse(HTTPResponse):
    """Response with a final status and unambiguous framing, or an error.

    The standard library skips no interim response but 100, accepts any status
    from 100 to 999, and takes the first of several lengths.
    """

    def begin(self) -> None:
        """Read the head; raises ``HTTPException`` if it is not valid."""
        super().begin()
        _check_headers(self.headers)

    def _read_status(self) -> tuple[str, int, str]:
        """Return version, status and phrase of the final response."""
        while True:
            version, status, phrase = super()._read_status()  # type: ignore[misc]
            if version not in _VERSIONS or status not in _STATUSES:
                raise BadStatusLine(f'{version} {status}')
            if status >= _FIRST_FINAL_STATUS:
                return version, status, phrase
            parse_headers(self.fp)


def _check_headers(headers: Message) -> None:
    lengths = headers.get_all('content-length', [])
    codings = headers.get_all('transfer-encoding', [])
    if len(lengths) > 1 or (lengths and codings):
        raise HTTPException('more than one length or coding')
    # A line that is no header ends the head for the parser.
    if headers.defects or headers.get_payload():
        raise HTTPException('a line of the head is no header')
    if any('\0' in name or '\0' in text for name, text in headers.items()):
        raise HTTPException('NUL in a header')
