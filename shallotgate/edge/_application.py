"""HTTP adapter for callers."""

import hashlib
from collections.abc import Callable, Mapping, Sequence
from types import MappingProxyType
from typing import Protocol

from shallotgate.edge._wire import JsonWireFormat, WireFormat
from shallotgate.generated.answers import Answer, AnswerFinding, QueryRequest
from shallotgate.generated.catalogue import Catalogue
from shallotgate.http import Request, Response, make_json_response
from shallotgate.membership import TierView
from shallotgate.query import CLASS_FORBIDDEN_REASON, validate_fields

_RETRY_AFTER_S = 1
_STATUSES = MappingProxyType(
    {
        'complete': 200,
        'partial': 200,
        'refused': 503,
        'failed': 502,
        'unknown': 504,
    }
)
# Reasons that the caller itself has to remedy. Quarantined content must not
# look like a fault of the gateway, since balancers resend after one.
_STATUSES_BY_REASON = MappingProxyType(
    {
        'caller_rate': 429,
        'caller_concurrency': 429,
        'cutoff_passed': 422,
        'quarantined': 422,
    }
)
_RETRIED_STATUSES = frozenset((429, 503))


class QueryPort(Protocol):
    """Answers checked requests."""

    def answer(self, request: QueryRequest, caller: str) -> Answer:
        """Return the answer to a request."""

    def make_request_id(self) -> str:
        """Return a new request id."""


class CallerApplication:
    """Serves ``POST /v1/query`` and ``GET /readyz``.

    Statuses: 200 for complete and partial answers; 400, 401 and 403 for
    requests with findings; 422 for content in quarantine and for a cut-off
    that has passed; 429 for a caller beyond its limits; 503 for other
    refusals; 502 for failed and 504 for unknown outcomes. 429 and 503 carry
    ``Retry-After``. A refused request was not run.
    """

    def __init__(
        self,
        queries: QueryPort,
        view: TierView,
        get_unready_reason: Callable[[], str],
        wire: WireFormat | None = None,
    ) -> None:
        """``get_unready_reason`` returns an empty string once ready."""
        self._queries = queries
        self._view = view
        self._find_unready = get_unready_reason
        self._wire = wire or JsonWireFormat()
        self._callers: Mapping[str, str] = {}
        self._callers_of: Catalogue | None = None

    def handle(self, request: Request) -> Response:
        """Return the response to a request."""
        route = (request.method, request.path)
        if route == ('POST', '/v1/query'):
            return self._answer_query(request)
        if route == ('GET', '/readyz'):
            return self._answer_ready()
        is_known = request.path in {'/v1/query', '/readyz'}
        fault = AnswerFinding(
            path='method' if is_known else 'path',
            reason=f'not served: {request.method} {request.path}',
        )
        return self._refuse(405 if is_known else 404, [fault])

    def _answer_ready(self) -> Response:
        reason = self._find_unready()
        if reason:
            return make_json_response(503, {'ready': False, 'reason': reason})
        return make_json_response(200, {'ready': True})

    def _answer_query(self, request: Request) -> Response:
        parsed = self._wire.parse(request.body)
        catalogue = self._view.current().catalogue
        if not catalogue.version:
            # Without a catalogue no caller is known yet.
            return self._refuse(503, [], 'no_catalogue')
        caller = self._find_caller(catalogue, request.bearer)
        if caller is None:
            fault = AnswerFinding(
                path='authorization',
                reason='no bearer key of a known caller',
            )
            return self._refuse(401, [fault, *parsed.findings])
        if parsed.request is None:
            faults = validate_fields(catalogue, caller, parsed.fields)
            return self._refuse(400, [*parsed.findings, *faults])
        answer = self._queries.answer(parsed.request, caller)
        return self._render(_find_status(answer), answer)

    def _find_caller(self, catalogue: Catalogue, bearer: str) -> str | None:
        if not bearer:
            return None
        if self._callers_of is not catalogue:
            self._callers = {
                entry.key_sha256: name
                for name, entry in catalogue.callers.items()
            }
            self._callers_of = catalogue
        digest = hashlib.sha256(bearer.encode()).hexdigest()
        return self._callers.get(digest)

    def _refuse(
        self,
        status: int,
        findings: Sequence[AnswerFinding],
        reason: str = 'invalid',
    ) -> Response:
        answer = Answer(
            request_id=self._queries.make_request_id(),
            outcome='refused',
            reason=reason,
            findings=findings,
        )
        return self._render(status, answer)

    def _render(self, status: int, answer: Answer) -> Response:
        headers = {}
        if status in _RETRIED_STATUSES:
            headers['Retry-After'] = str(_RETRY_AFTER_S)
        return Response(
            status=status,
            body=self._wire.render(answer),
            content_type=self._wire.content_type,
            headers=headers,
        )


def _find_status(answer: Answer) -> int:
    if answer.findings:
        is_forbidden = all(
            one.reason == CLASS_FORBIDDEN_REASON for one in answer.findings
        )
        return 403 if is_forbidden else 400
    status = _STATUSES[answer.outcome]
    return _STATUSES_BY_REASON.get(answer.reason, status)
