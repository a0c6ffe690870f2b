"""Limits on what a target may send in reply to one request."""

from dataclasses import dataclass, field

from shallotgate.aio._message import MAX_FRAMING_RATIO
from shallotgate.errors import ReplyLimitError

_BYTES_PER_MIB = 1024 * 1024
_DEFAULT_BUFFER_BYTES = 32 * _BYTES_PER_MIB
# Memory that a header takes besides its text.
_HEADER_OVERHEAD_BYTES = 200


class ReplyBuffer:
    """Bytes of replies that are being received, over all connections."""

    def __init__(self, max_bytes: int = _DEFAULT_BUFFER_BYTES) -> None:
        self._max_bytes = max_bytes
        self.used_bytes = 0

    def reserve(self, amount: int) -> None:
        """Account for received bytes; raises ``ReplyLimitError`` if full."""
        if self.used_bytes + amount > self._max_bytes:
            raise ReplyLimitError(
                f'all replies together exceed {self._max_bytes} bytes',
            )
        self.used_bytes += amount

    def release(self, amount: int) -> None:
        """Return bytes whose reply is complete or discarded."""
        self.used_bytes -= amount


@dataclass(frozen=True)
class ReplyLimits:
    """Limits for the replies to one request."""

    # Body of one reply, in bytes.
    max_body_bytes: int = 8 * _BYTES_PER_MIB
    # Everything but bodies, in bytes: status lines, headers, interim replies,
    # replies to earlier requests, chunk extensions and trailers.
    max_head_bytes: int = 64 * 1024
    # Headers and trailers of one reply.
    max_headers: int = 256
    # Interim replies and replies to earlier requests before the own one.
    max_skipped: int = 16
    buffer: ReplyBuffer = field(default_factory=ReplyBuffer)


class ReplyMeter:
    """Checks the replies to one request against its limits."""

    def __init__(self, limits: ReplyLimits) -> None:
        self._limits = limits
        # Received bytes that belong to no body.
        self._head_bytes = 0
        # Part of the buffer that is reserved for heads.
        self._reserved_head_bytes = 0
        self._is_finished = False
        # Body bytes of all replies, and of the current one.
        self._all_body_bytes = 0
        self._body_bytes = 0
        self._headers = 0
        self._skipped = 0

    def add_received(self, amount: int) -> None:
        """Count received bytes before they are parsed."""
        self._head_bytes += amount

    def check_head(self) -> None:
        """Raise ``ReplyLimitError`` if there is too much besides the bodies.

        Called after parsing, when body bytes have been counted as such.
        """
        if self._is_finished:
            return
        limit = self._limits.max_head_bytes
        allowed = limit + self._all_body_bytes * MAX_FRAMING_RATIO
        if self._head_bytes > allowed:
            raise ReplyLimitError(
                f'headers and framing exceed {limit} bytes',
            )
        overhead = self._headers * _HEADER_OVERHEAD_BYTES
        self._reserve_head(self._head_bytes + overhead)

    def check_length(self, stated: bytes) -> None:
        """Raise ``ReplyLimitError`` if the stated length is too large."""
        limit = self._limits.max_body_bytes
        if stated.isdigit() and int(stated) > limit:
            raise ReplyLimitError(
                f'stated length of {int(stated)} exceeds {limit} bytes',
            )

    def add_header(self) -> None:
        """Count a header or trailer; raises ``ReplyLimitError``."""
        self._headers += 1
        if self._headers > self._limits.max_headers:
            raise ReplyLimitError(
                f'more than {self._limits.max_headers} headers',
            )

    def add_body(self, amount: int) -> None:
        """Count a part of a body; raises ``ReplyLimitError``."""
        self._head_bytes -= amount
        self._all_body_bytes += amount
        if self._body_bytes + amount > self._limits.max_body_bytes:
            raise ReplyLimitError(
                f'body exceeds {self._limits.max_body_bytes} bytes',
            )
        self._limits.buffer.reserve(amount)
        self._body_bytes += amount

    def add_skipped(self) -> None:
        """Count a reply that is not the own one; raises ``ReplyLimitError``."""
        self._skipped += 1
        if self._skipped > self._limits.max_skipped:
            raise ReplyLimitError(
                f'more than {self._limits.max_skipped} other replies',
            )

    def discard_reply(self) -> None:
        """Release the current reply; another one may follow."""
        self._limits.buffer.release(self._body_bytes)
        self._body_bytes = 0
        self._headers = 0

    def finish(self) -> None:
        """Release everything; no reply follows."""
        self.discard_reply()
        self._limits.buffer.release(self._reserved_head_bytes)
        self._reserved_head_bytes = 0
        self._is_finished = True

    def _reserve_head(self, amount: int) -> None:
        missing = amount - self._reserved_head_bytes
        if missing > 0:
            self._limits.buffer.reserve(missing)
            self._reserved_head_bytes = amount
