"""What callers and targets of a platform say, in the project's terms."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from shallotgate.aio import Headers, IncomingRequest, Reply, Response


@dataclass(frozen=True)
class CallerRequest:
    """What a caller says about its request."""

    # Id of this attempt of the caller; empty if it names none.
    request_id: bytes
    # Host that the caller named.
    host: str
    # Milliseconds for which the caller waits; None if it does not say.
    timeout_ms: float | None
    # The request as every target gets it, up to the headers of an attempt.
    head: bytes


@dataclass(frozen=True)
class TargetLoad:
    """Load that a target reports in a reply."""

    # Requests that it works on.
    running: int
    # Requests that wait for a slot.
    waiting: int
    # Requests that it works on at a time.
    slots: int


@dataclass(frozen=True)
class ReplyMetadata:
    """What a target says about its reply."""

    # Proof that the target made this reply; empty if there is none.
    signature: bytes
    # Whether the target states that it did not run the request.
    is_not_run: bool
    # Whether the reply comes from another target than the one addressed.
    is_misdirected: bool
    load: TargetLoad | None


class WireCodec(Protocol):
    """Adapter for the headers of one platform."""

    def decode_request(self, request: IncomingRequest) -> CallerRequest:
        """Decode the headers of a caller; raises ``FindingsError``."""

    def encode_attempt(
        self,
        caller: CallerRequest,
        body: bytes,
        time_left_ms: int,
        target: str,
    ) -> bytes:
        """Return the bytes of one attempt on a target."""

    def matches_request(self, headers: Headers, request_id: bytes) -> bool:
        """Return whether a reply belongs to a request."""

    def decode_reply(self, reply: Reply) -> ReplyMetadata:
        """Decode the headers of a reply."""

    def make_merged_response(
        self,
        signatures: Sequence[bytes],
        missing: int,
        body: bytes,
    ) -> Response:
        """Return the answer made of parts; ``missing`` counts left-out ones."""

    def forward_reply(self, reply: Reply) -> Response:
        """Return a target's reply as the answer to the caller."""

    def refuse(self, status: int, retry_after_s: float | None) -> Response:
        """Return an answer of the tier itself."""
