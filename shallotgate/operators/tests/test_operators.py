from collections.abc import Callable
from dataclasses import replace
from types import MappingProxyType
from typing import Any

import pytest

from shallotgate.codec import decode_json, encode_json
from shallotgate.errors import (
    CallTimeoutError,
    CommitUnknownError,
    Finding,
    FindingsError,
    NoLeaderError,
)
from shallotgate.generated.catalogue import (
    Catalogue,
    ChangeFinding,
    Service,
    Target,
    Verdict,
)
from shallotgate.generated.messages import (
    ChangeCatalogue,
    Done,
    LiftQuarantine,
    TargetState,
    Versions,
)
from shallotgate.http import Request, Response
from shallotgate.membership import LeaderCallError, TierView, View, list_places
from shallotgate.metrics import Metrics
from shallotgate.operators import OperatorApplication, OperatorPorts
from shallotgate.settings import OperatorKey

TOKEN = 'token-of-ana-0001'
CHANGE = {
    'change_id': '20261204T062622Z-abcdefgh',
    'base_version': 3,
    'edits': [{'op': 'remove', 'kind': 'services', 'name': 'trace-01'}],
    'reason': 'no longer used',
}
TARGET = Target(
    name='t-a', address='127.0.0.1:1', domain='a', slots=2, connections=9
)
CATALOGUE = Catalogue(
    version=3,
    services={'t': Service(owner='ana', group='g', targets=[TARGET])},
)
STATE = TargetState(
    target='t-a',
    epoch=1,
    limit=2,
    in_flight=0,
    queued=0,
    queue_ms=0,
    latency_ms=5,
    cold=False,
    draining=False,
    lost=False,
)


class FakeLeader:
    """Command port and leader whose answer each test sets."""

    def __init__(self) -> None:
        self.answer: Any = None
        self.calls: list[Any] = []
        self.reason = ''

    def propose(self, command: object, timeout_s: float) -> object:
        self.calls.append(command)
        return self._return_answer()

    def call_leader(
        self, operation: str, argument: object, timeout_s: float
    ) -> object:
        self.calls.append((operation, argument))
        return self._return_answer()

    def _return_answer(self) -> Any:
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


SendRequest = Callable[..., Response]


@pytest.fixture
def leader() -> FakeLeader:
    return FakeLeader()


@pytest.fixture
def send(leader: FakeLeader) -> SendRequest:
    view = TierView()
    versions = Versions(catalogue=3)
    places = list_places(CATALOGUE)
    # A view built from incremental updates has read-only tables.
    tables = MappingProxyType(dict(CATALOGUE.domains))
    catalogue = replace(CATALOGUE, domains=tables)
    view.replace(View(catalogue, {}, {}, {}, versions, places))
    application = OperatorApplication(
        OperatorPorts(
            keys=(
                OperatorKey('ana', TOKEN, administrator=True),
                OperatorKey('bo', 'token-of-bo-00001'),
            ),
            view=view,
            commands=leader,
            leader=leader,
            metrics=Metrics(),
            targets=lambda: [STATE],
            snapshots=lambda: {'groups': []},
            readiness=lambda: leader.reason,
        )
    )

    def call(method, path, content=None, bearer=TOKEN, parameters=None):
        body = content if isinstance(content, bytes) else encode_json(content)
        request = Request(method, path, parameters or {}, bearer, body)
        return application.handle(request)

    return call


def decode_body(response: Response) -> Any:
    return decode_json(response.body, object)


def test_pages_need_a_token(send):
    """Guards against pages that are accessible without a valid token."""
    for path in ('/metrics', '/v1/catalogue', '/v1/status', '/v1/none'):
        assert send('GET', path, bearer='').status == 401
        assert send('GET', path, bearer='token-of-ana-0002').status == 401
    assert send('POST', '/v1/catalogue', CHANGE, bearer='x').status == 401
    assert send('GET', '/healthz', bearer='').status == 200


def test_readiness_follows_the_instance(send, leader):
    """Guards against a load balancer that routes to a leaving instance."""
    assert send('GET', '/readyz', bearer='').status == 200
    leader.reason = 'leaving'
    assert send('GET', '/readyz', bearer='').status == 503
    assert send('GET', '/healthz', bearer='').status == 200


def test_change_carries_the_operator_of_the_token(send, leader):
    """Guards against changes attributed to another operator."""
    verdict = Verdict(
        change_id=CHANGE['change_id'], outcome='accepted', version=4
    )
    leader.answer = verdict
    response = send('POST', '/v1/catalogue', CHANGE, 'token-of-bo-00001')
    assert response.status == 200
    assert decode_json(response.body, Verdict) == verdict
    (command,) = leader.calls
    assert isinstance(command, ChangeCatalogue)
    assert (command.operator, command.administrator) == ('bo', False)
    assert decode_json(command.change, object) == CHANGE


@pytest.mark.parametrize(
    ('outcome', 'status'),
    [('conflict', 409), ('invalid', 422), ('too_old', 422), ('forbidden', 403)],
)
def test_verdict_sets_the_status(send, leader, outcome, status):
    """Guards against refused changes reported as accepted or unexplained."""
    finding = ChangeFinding(path='edits/0', reason='is wrong')
    leader.answer = encode_json(
        Verdict(
            change_id='x', outcome=outcome, version=3, findings=[finding] * 2
        )
    )
    response = send('POST', '/v1/catalogue', CHANGE)
    assert response.status == status
    assert len(decode_body(response)['findings']) == 2


@pytest.mark.parametrize(
    ('error', 'status', 'outcome'),
    [
        (NoLeaderError('none'), 503, 'refused'),
        (CommitUnknownError('cut'), 504, 'unknown'),
        (CallTimeoutError('late'), 504, 'unknown'),
        (LeaderCallError('no such member'), 422, 'refused'),
        (FindingsError([Finding('x', 'y', 'z')]), 400, 'refused'),
    ],
)
def test_errors_tell_whether_a_change_was_taken(
    send, leader, error, status, outcome
):
    """Guards against a lost answer reported as a refusal."""
    leader.answer = error
    for method, path in (('POST', '/v1/catalogue'), ('GET', '/v1/status')):
        response = send(method, path, CHANGE)
        assert response.status == status
        assert decode_body(response)['outcome'] == outcome


@pytest.mark.parametrize('outcome', [None, b'{', Done(changed=True)])
def test_unreadable_result_is_unknown(send, leader, outcome):
    """Guards against a committed change reported as failed."""
    leader.answer = outcome
    assert send('POST', '/v1/catalogue', CHANGE).status == 504


def test_malformed_changes_get_all_findings(send, leader):
    """Guards against partial error lists, and invalid changes in the log."""
    malformed = CHANGE | {
        'change_id': 'x',
        'edits': [{'op': 'burn'}],
        'extra': 1,
    }
    response = send('POST', '/v1/catalogue', malformed)
    assert response.status == 400
    assert {
        finding['path'] for finding in decode_body(response)['findings']
    } == {
        'change_id',
        'edits/0/op',
        'edits/0/kind',
        'edits/0/name',
        'extra',
    }
    for body in (b'', b'{', b'\xff', b'[' * 100_000, b'[]'):
        assert send('POST', '/v1/catalogue', body).status == 400
    assert not leader.calls


def test_reads_of_the_view(send):
    """Guards against page content that can't be encoded as JSON."""
    assert decode_body(send('GET', '/v1/catalogue'))['version'] == 3
    (target,) = decode_body(send('GET', '/v1/targets'))['targets']
    assert target['state']['limit'] == 2
    for path in ('/v1/instances', '/v1/domains', '/v1/snapshots'):
        assert send('GET', path).status == 200
    assert send('GET', '/metrics').status == 200
    assert send('DELETE', '/v1/catalogue').status == 405
    assert send('GET', '/v1/none').status == 404


def test_leader_calls(send, leader):
    """Guards against calls with a wrong operation or missing argument."""
    leader.answer = []
    for page in ('history', 'quarantine', 'status', 'control/members'):
        response = send('GET', f'/v1/{page}', parameters={'limit': '2'})
        assert response.body == b'[]'
        assert leader.calls.pop() == (page.split('/')[-1], {'limit': '2'})
    leader.answer = b'{"leader": "a-1"}'
    assert decode_body(send('GET', '/v1/status')) == {'leader': 'a-1'}
    leader.calls.clear()
    replace = {'instance': 'a-1'}
    path = '/v1/control/replace'
    assert send('POST', path, replace, 'token-of-bo-00001').status == 403
    assert not leader.calls
    assert send('POST', path, replace).status == 200
    assert leader.calls == [('replace_member', replace)]


def test_quarantine_is_lifted_with_a_reason(send, leader):
    """Guards against lifting without a reason, or of an unknown digest."""
    path = '/v1/quarantine/lift'
    assert send('POST', path, {'digest': 'd'}).status == 400
    leader.answer = Done(changed=True)
    assert send('POST', path, {'digest': 'd', 'reason': 'r'}).status == 200
    assert leader.calls == [
        LiftQuarantine(digest='d', operator='ana', reason='r', time=0),
    ]
    leader.answer = Done(changed=False, reason='unknown digest')
    assert send('POST', path, {'digest': 'd', 'reason': 'r'}).status == 404
