"""HTTP application of the operator address."""

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
from shallotgate.operators._input import list_findings
from shallotgate.operators._pages import ReadPages
from shallotgate.operators._ports import OperatorPorts
from shallotgate.operators._writes import WritePages
from shallotgate.settings import OperatorKey, find_operator

_NOT_TAKEN = (NoLeaderError, NotLeaderError, PeerUnreachableError)
_NO_ANSWER = (*_NOT_TAKEN, CommitUnknownError, CallTimeoutError)
_RESEND = (
    'the outcome is unknown; resend with the same change id, or read the '
    'status before a call without one is repeated'
)

_Page = Callable[[Request, OperatorKey], Response]
_Pages = Mapping[str, _Page]


class OperatorApplication:
    """Answers operators; all pages but the health pages need a token."""

    def __init__(self, ports: OperatorPorts) -> None:
        self._ports = ports
        # Pages by method and path.
        self._pages: Mapping[str, _Pages] = _list_pages(ports)

    def handle(self, request: Request) -> Response:
        """Return the response to a request."""
        if request.path == '/healthz':
            return make_json_response(200, {'status': 'ok'})
        if request.path == '/readyz':
            return self._answer_readiness()
        operator = find_operator(self._ports.keys, request.bearer)
        if operator is None:
            return _refuse(401, 'unauthorized', 'a known token is needed')
        page = self._pages.get(request.method, {}).get(request.path)
        if page is None:
            return self._refuse_path(request)
        return _answer(page, request, operator)

    def _answer_readiness(self) -> Response:
        reason = self._ports.readiness()
        if reason:
            content = {'status': 'not_ready', 'reason': reason}
            return make_json_response(503, content)
        return make_json_response(200, {'status': 'ready'})

    def _refuse_path(self, request: Request) -> Response:
        for pages in self._pages.values():
            if request.path in pages:
                return _refuse(
                    405,
                    'method',
                    f'{request.method} is not supported here',
                )
        return _refuse(404, 'path', f'no page {request.path}')


def _list_pages(ports: OperatorPorts) -> Mapping[str, _Pages]:
    reads = ReadPages(ports)
    writes = WritePages(ports)
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


def _answer(page: _Page, request: Request, operator: OperatorKey) -> Response:
    try:
        return page(request, operator)
    except FindingsError as error:
        findings = list_findings(error)
        return make_json_response(
            400,
            {'outcome': 'refused', 'reason': 'invalid', 'findings': findings},
        )
    except LeaderCallError as error:
        return _refuse(422, 'failed', str(error))
    except _NO_ANSWER as error:
        if isinstance(error, _NOT_TAKEN):
            return _refuse(503, 'no_leader', f'not taken: {error}')
        content = {
            'outcome': 'unknown',
            'reason': str(error),
            'advice': _RESEND,
        }
        return make_json_response(504, content)


def _refuse(status: int, reason: str, detail: str) -> Response:
    finding = {'path': 'request', 'reason': detail}
    return make_json_response(
        status,
        {'outcome': 'refused', 'reason': reason, 'findings': [finding]},
    )
