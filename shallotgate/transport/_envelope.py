"""Envelope of a message and the age of received messages."""

import time
from dataclasses import dataclass
from typing import Any

import msgspec

from shallotgate.codec import CodecError, decode_named

# Two windows bound the effect of drift between clocks: at 100 ppm, 60 s
# change the base by 6 ms.
_WINDOW_S = 60


@dataclass(frozen=True)
class Delivery:
    """A received message."""

    # Instance id of the sender.
    sender: str
    # Start id of the sender.
    start_id: str
    # Id of the call it belongs to; empty for a plain message.
    call_id: str
    # Seconds it was under way beyond the shortest time seen from this sender.
    age_s: float
    # One of the generated message types.
    message: Any


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """What goes over the wire, as a MessagePack array."""

    sender: str
    start_id: str
    # Monotonic time of the sender in seconds.
    sent_at: float
    call_id: str
    is_reply: bool
    kind: str
    payload: msgspec.Raw


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(
    sender: str,
    start_id: str,
    message: object,
    call_id: str = '',
    is_reply: bool = False,
) -> bytes:
    """Encode a message with the time of sending."""
    return _ENCODER.encode(
        (
            sender,
            start_id,
            time.monotonic(),
            call_id,
            is_reply,
            type(message).__name__,
            message,
        )
    )


def decode_envelope(encoded: bytes) -> tuple[Envelope, Any]:
    """Decode an envelope and its message; raises ``CodecError``."""
    try:
        envelope = _DECODER.decode(encoded)
    except msgspec.MsgspecError as error:
        raise CodecError(f'not an envelope: {error}') from error
    return envelope, decode_named(envelope.kind, envelope.payload)


class AgeEstimator:
    """Estimates how long messages of one sender start were held up.

    The difference between receive and send time is the offset of the clocks
    plus the time under way. Its minimum over the last one to two windows
    stands for an unhindered message.

    >>> estimator = AgeEstimator()
    >>> estimator.estimate(sent_at=10.0, received_at=110.0)
    0.0
    >>> estimator.estimate(sent_at=11.0, received_at=113.0)
    2.0
    """

    def __init__(self) -> None:
        self._window_start = float('-inf')
        self._current = float('inf')
        self._previous = float('inf')

    def estimate(self, sent_at: float, received_at: float) -> float:
        """Return the age in seconds beyond the shortest time seen."""
        difference = received_at - sent_at
        if received_at - self._window_start > _WINDOW_S:
            # One step only: after a long pause the last base is still used.
            self._previous = self._current
            self._current = float('inf')
            self._window_start = received_at
        self._current = min(self._current, difference)
        return difference - min(self._current, self._previous)
