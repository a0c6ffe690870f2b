"""Message envelope and estimation of the age of received messages."""

import time
from dataclasses import dataclass
from typing import Any

import msgspec

from shallotgate.codec import CodecError, decode_named

# Using two windows bounds the effect of clock drift: at 100 ppm, 60 s change
# the minimum by 6 ms.
_WINDOW_S = 60


@dataclass(frozen=True)
class Delivery:
    """A received message."""

    # Instance id of the sender.
    sender: str
    # Start id of the sender.
    start_id: str
    # Id of the call that it belongs to; empty for a one-way message.
    call_id: str
    # Delay in seconds beyond the shortest delay observed from this sender.
    age_s: float
    # Instance of one of the generated message types.
    message: Any


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """Wire format of a message, encoded as a MessagePack array."""

    sender: str
    start_id: str
    # Send time on the monotonic clock of the sender, in seconds.
    sent_at: float
    call_id: str
    is_reply: bool
    kind: str
    payload: msgspec.Raw
    # Send time of the newest message from the recipient that the sender has
    # received, on the clock of the recipient; minus infinity if none. None
    # from a build that does not state it.
    acknowledged: float | None = None
    # Times that the sender has missed a reaction of the recipient.
    losses: int = 0


@dataclass(frozen=True)
class EncodedMessage:
    """An encoded message and its send time."""

    # Monotonic time in seconds.
    sent_at: float
    content: bytes


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(
    sender: str,
    start_id: str,
    message: object,
    call_id: str = '',
    is_reply: bool = False,
    acknowledged: float | None = None,
    losses: int = 0,
) -> EncodedMessage:
    """Encode a message with the current time as its send time."""
    sent_at = time.monotonic()
    content = _ENCODER.encode(
        (
            sender,
            start_id,
            sent_at,
            call_id,
            is_reply,
            type(message).__name__,
            message,
            acknowledged,
            losses,
        )
    )
    return EncodedMessage(sent_at, content)


def decode_envelope(encoded: bytes) -> tuple[Envelope, Any]:
    """Decode an envelope and its message; raises ``CodecError``."""
    try:
        envelope = _DECODER.decode(encoded)
    except msgspec.MsgspecError as error:
        raise CodecError(f'invalid envelope: {error}') from error
    return envelope, decode_named(envelope.kind, envelope.payload)


class AgeEstimator:
    """Estimates the excess delay of messages from one start of a sender.

    The difference between receive and send time is the clock offset plus the
    transmission delay. Its minimum over the last one to two windows serves as
    the baseline of an undelayed message.

    >>> estimator = AgeEstimator()
    >>> estimator.estimate(sent_at=10.0, received_at=110.0)
    0.0
    >>> estimator.estimate(sent_at=11.0, received_at=113.0)
    2.0
    """

    def __init__(self) -> None:
        self._window_start = float('-inf')
        self._current_minimum = float('inf')
        self._previous_minimum = float('inf')

    def estimate(self, sent_at: float, received_at: float) -> float:
        """Return the delay in seconds beyond the baseline."""
        difference = received_at - sent_at
        if received_at - self._window_start > _WINDOW_S:
            # The window advances by one step only, so that the last minimum is
            # still used after a long pause.
            self._previous_minimum = self._current_minimum
            self._current_minimum = float('inf')
            self._window_start = received_at
        self._current_minimum = min(self._current_minimum, difference)
        return difference - min(self._current_minimum, self._previous_minimum)
