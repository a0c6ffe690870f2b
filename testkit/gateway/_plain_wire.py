"""Wire codec of the simulation: a request consists of its id."""

from collections.abc import Sequence
from dataclasses import replace

from shallotgate.aio import Headers, IncomingRequest, Reply, Response
from shallotgate.gateway import CallerRequest, ReplyMetadata, TargetLoad

_MISDIRECTED = 421


class PlainWire:
    """Minimal ``WireCodec``."""

    def decode_request(self, request: IncomingRequest) -> CallerRequest:
        """Use the body as the request id."""
        key = request.read_header(b'key') or b''
        return CallerRequest(request.body, 'host', None, b'', key=key)

    def encode_account(
        self,
        caller: CallerRequest,
        account: str | None,
    ) -> CallerRequest:
        """Remove the key."""
        return replace(caller, key=b'')

    def encode_attempt(
        self,
        caller: CallerRequest,
        body: bytes,
        time_left_ms: int,
        target: str,
    ) -> bytes:
        """Encode an attempt as its request id."""
        return caller.request_id

    def matches_request(self, headers: Headers, request_id: bytes) -> bool:
        """Return true: each connection carries one request at a time."""
        return True

    def decode_reply(self, reply: Reply) -> ReplyMetadata:
        """Decode the headers of a simulated reply."""
        headers = dict(reply.headers)
        limit = headers.get(b'limit')
        pause = headers.get(b'pause')
        load = headers.get(b'load')
        return ReplyMetadata(
            headers.get(b'signature', b''),
            b'not-run' in headers,
            reply.status == _MISDIRECTED,
            None if load is None else TargetLoad(*map(int, load.split(b','))),
            None if limit is None else float(limit),
            is_leaving=b'leaving' in headers,
            pause_s=None if pause is None else float(pause),
        )

    def make_merged_response(
        self,
        signatures: Sequence[bytes],
        missing: int,
        body: bytes,
    ) -> Response:
        """Return a response with the number of missing parts in a header."""
        return Response(200, body, ((b'missing', b'%d' % missing),))

    def forward_reply(self, reply: Reply) -> Response:
        """Return a reply unchanged as the response."""
        return Response(reply.status, reply.body)

    def refuse(self, status: int, retry_after_s: float | None) -> Response:
        """Return an error response of the tier itself."""
        return Response(status)
