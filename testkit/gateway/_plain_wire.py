"""Wire of the simulation: a request is its id."""

from collections.abc import Sequence

from shallotgate.aio import Headers, IncomingRequest, Reply, Response
from shallotgate.gateway import CallerRequest, ReplyMetadata

_MISDIRECTED = 421


class PlainWire:
    """Implements ``WireCodec`` with as few bytes as possible."""

    def decode_request(self, request: IncomingRequest) -> CallerRequest:
        """Take the body as the id."""
        return CallerRequest(request.body, 'host', None, b'')

    def encode_attempt(
        self,
        caller: CallerRequest,
        body: bytes,
        time_left_ms: int,
        target: str,
    ) -> bytes:
        """Return the id."""
        return caller.request_id

    def matches_request(self, headers: Headers, request_id: bytes) -> bool:
        """Return true: links carry one request at a time."""
        return True

    def decode_reply(self, reply: Reply) -> ReplyMetadata:
        """Decode the headers of a simulated reply."""
        headers = dict(reply.headers)
        return ReplyMetadata(
            headers.get(b'signature', b''),
            b'not-run' in headers,
            reply.status == _MISDIRECTED,
            None,
        )

    def make_merged_response(
        self,
        signatures: Sequence[bytes],
        missing: int,
        body: bytes,
    ) -> Response:
        """Return an answer that tells how many parts are missing."""
        return Response(200, body, ((b'missing', b'%d' % missing),))

    def forward_reply(self, reply: Reply) -> Response:
        """Return a reply as the answer."""
        return Response(reply.status, reply.body)

    def refuse(self, status: int, retry_after_s: float | None) -> Response:
        """Return an answer of the tier."""
        return Response(status)
