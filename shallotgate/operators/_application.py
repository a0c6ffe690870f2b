"""HTTP application served at the operator address."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from shallotgate.errors import (
    CallTimeoutError,
    CommitUnknownError,
    FindingsError,
    NoLeaderError,
    NotLeaderError,
    PeerUnreachableError,
)
from shallotgate.http import Request, Response, make_json_response
from shallotgate.membership import LeaderCallError
from shallotgate.operators._input import encode_findings
from shallotgate.operators._pages import ReadHandlers
from shallotgate.operators._ports import OperatorPorts
from shallotgate.operators._writes import WriteHandlers
from shallotgate.settings import OperatorKey, find_operator

_NOT_ACCEPTED = (NoLeaderError, NotLeaderError, PeerUnreachableError)
_LEADER_CALL_FAILURES = (*_NOT_ACCEPTED, CommitUnknownError, CallTimeoutError)
_RESEND_ADVICE = (
    'the outcome is unknown; resend with the same change id, or read the '
    'status before a call without one is repeated'
)

_RequestHandler = Callable[[Request, OperatorKey], Response]
_HandlersByPath = Mapping[str, _RequestHandler]


class OperatorApplication:
    """Handles operator requests; all pages but health require a token."""

    def __init__(self, ports: OperatorPorts) -> None:
        self._ports = ports
        # Request handlers by method and path.
        self._handlers: Mapping[str, _HandlersByPath] = _make_handlers(ports)

    def handle(self, request: Request) -> Response:
        """Return the response to a request."""
        if request.path == '/healthz':
            return make_json_response(200, {'status': 'ok'})
        if request.path == '/readyz':
            return self._respond_readiness()
        operator = find_operator(self._ports.keys, request.bearer)
        if operator is None:
            return _make_refusal(401, 'unauthorized', 'a known token is needed')
        page_handler = self._handlers.get(request.method, {}).get(request.path)
        if page_handler is None:
            return self._refuse_unknown_path(request)
        return _call_handler(page_handler, request, operator)

    def _respond_readiness(self) -> Response:
        reason = self._ports.readiness()
        if reason:
            content = {'status': 'not_ready', 'reason': reason}
            return make_json_response(503, content)
        return make_json_response(200, {'status': 'ready'})

    def _refuse_unknown_path(self, request: Request) -> Response:
        for handlers_by_path in self._handlers.values():
            if request.path in handlers_by_path:
                return _make_refusal(
                    405,
                    'method',
                    f'{request.method} is not supported here',
                )
        return _make_refusal(404, 'path', f'no page {request.path}')


def _make_handlers(ports: OperatorPorts) -> Mapping[str, _HandlersByPath]:
    reads = ReadHandlers(ports)
    writes = WriteHandlers(ports)
    return MappingProxyType(
        {
            'GET': MappingProxyType(
                {
                    '/metrics': reads.read_metrics,
                    '/v1/catalogue': reads.read_catalogue,
                    '/v1/control/members': reads.read_from_leader,
                    '/v1/domains': reads.read_domains,
                    '/v1/history': reads.read_from_leader,
                    '/v1/instances': reads.read_instances,
                    '/v1/quarantine': reads.read_from_leader,
                    '/v1/snapshots': reads.read_snapshots,
                    '/v1/status': reads.read_from_leader,
                    '/v1/targets': reads.read_targets,
                }
            ),
            'POST': MappingProxyType(
                {
                    '/v1/catalogue': writes.change_catalogue,
                    '/v1/control/replace': writes.replace_member,
                    '/v1/quarantine/lift': writes.lift_quarantine,
                }
            ),
        }
    )


def _call_handler(
    page_handler: _RequestHandler, request: Request, operator: OperatorKey
) -> Response:
    try:
        return page_handler(request, operator)
    except FindingsError as error:
        findings = encode_findings(error)
        return make_json_response(
            400,
            {'outcome': 'refused', 'reason': 'invalid', 'findings': findings},
        )
    except LeaderCallError as error:
        return _make_refusal(422, 'failed', str(error))
    except _LEADER_CALL_FAILURES as error:
        if isinstance(error, _NOT_ACCEPTED):
            return _make_refusal(503, 'no_leader', f'not taken: {error}')
        content = {
            'outcome': 'unknown',
            'reason': str(error),
            'advice': _RESEND_ADVICE,
        }
        return make_json_response(504, content)


def _make_refusal(status: int, reason: str, detail: str) -> Response:
    finding = {'path': 'request', 'reason': detail}
    return make_json_response(
        status,
        {'outcome': 'refused', 'reason': reason, 'findings': [finding]},
    )
