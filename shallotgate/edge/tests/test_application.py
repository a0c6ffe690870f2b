import dataclasses
import hashlib
import json

import pytest
import urllib3

from shallotgate.edge import CallerApplication
from shallotgate.generated.answers import Answer
from shallotgate.http import HttpServer, Request
from shallotgate.membership import TierView
from shallotgate.query.tests.tier import Tier

KEY = 'a-bearer-key'
QUERY = {'group': 'trace', 'class_name': 'plain', 'query': {'n': 1}}


def make_application(tier, get_unready_reason=lambda: '', queries=None):
    view = tier.view.current()
    entry = view.catalogue.callers['teller']
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    callers = {
        'teller': dataclasses.replace(
            entry, key_sha256=digest, classes=['plain', 'print']
        )
    }
    catalogue = dataclasses.replace(view.catalogue, callers=callers)
    tier.view.replace(dataclasses.replace(view, catalogue=catalogue))
    return CallerApplication(
        queries or tier.entry, tier.view, get_unready_reason
    )


def post(application, content, key=KEY):
    body = content if isinstance(content, bytes) else json.dumps(content)
    if isinstance(body, str):
        body = body.encode()
    request = Request('POST', '/v1/query', {}, key, body)
    response = application.handle(request)
    return response, json.loads(response.body)


def test_query_over_http_is_answered_whole():
    """Guards against a break anywhere between the socket and the targets."""
    application = make_application(Tier())
    server = HttpServer('127.0.0.1:0', application, 4, 10_000)
    server.start()
    try:
        response = urllib3.request(
            'POST',
            f'http://{server.address}/v1/query',
            body=json.dumps(QUERY).encode(),
            headers={'Authorization': f'Bearer {KEY}'},
        )
        answer = response.json()
        oversized = urllib3.request(
            'POST', f'http://{server.address}/v1/query', body=b'x' * 10_001
        )
    finally:
        server.stop()
    assert response.status == 200
    assert answer['outcome'] == 'complete'
    assert len(answer['matches']) == 9
    assert oversized.status == 413
    assert oversized.json()['outcome'] == 'refused'


def test_five_faults_give_five_findings():
    """Guards against callers that learn of one fault at a time."""
    tier = Tier()
    faulty = {
        'group': 'unheard-of',
        'class_name': 'latency',
        'limit': 0,
        'cutoff': 'noon',
        'colour': 'red',
        'query': {},
    }
    response, answer = post(make_application(tier), faulty)
    assert response.status == 400
    assert answer['outcome'] == 'refused'
    assert sorted(one['path'] for one in answer['findings']) == [
        'class_name',
        'colour',
        'cutoff',
        'group',
        'limit',
    ]
    assert not tier.port.sent


@pytest.mark.parametrize(
    ('content', 'paths'),
    [
        (b'{"group"', ['body']),
        (b'[]', ['body']),
        (b'\xff\xfe', ['body']),
        ({}, ['class_name', 'group', 'query']),
        ({**QUERY, 'limit': 'ten', 'key': 7}, ['key', 'limit']),
        ({**QUERY, 'deadline_ms': 3000}, ['deadline_ms']),
        ({**QUERY, 'class_name': 'print'}, ['key']),
        ({**QUERY, 'class_name': 'print', 'key': 'x-1'}, ['key']),
        ({**QUERY, 'class_name': 'print', 'limit': 0}, ['key', 'limit']),
    ],
)
def test_malformed_request_is_refused_with_its_faults(content, paths):
    """Guards against a crash or a run of a malformed request."""
    tier = Tier()
    response, answer = post(make_application(tier), content)
    assert response.status == 400
    assert sorted(one['path'] for one in answer['findings']) == paths
    assert answer['outcome'] == 'refused'
    assert not tier.port.sent


def test_unknown_and_unauthorised_callers_are_refused():
    """Guards against queries of callers without the right to ask them."""
    application = make_application(Tier())
    for key in ('', 'wrong'):
        response, answer = post(application, QUERY, key)
        assert response.status == 401
        assert answer['findings'][0]['path'] == 'authorization'
    response, answer = post(application, {**QUERY, 'class_name': 'short'})
    assert response.status == 403
    assert answer['outcome'] == 'refused'


@pytest.mark.parametrize(
    ('outcome', 'reason', 'status'),
    [
        ('partial', 'deadline', 200),
        ('refused', 'no_lease', 503),
        ('refused', 'caller_rate', 429),
        ('failed', 'broken', 502),
        ('failed', 'quarantined', 422),
        ('unknown', 'deadline', 504),
    ],
)
def test_status_tells_the_outcome(outcome, reason, status):
    """Guards against clients that resend what may have run."""

    class Fixed:
        def answer(self, request, caller):
            return Answer(request_id='r', outcome=outcome, reason=reason)

    application = make_application(Tier(), queries=Fixed())
    response, answer = post(application, QUERY)
    assert response.status == status
    assert answer['outcome'] == outcome
    assert ('Retry-After' in response.headers) == (status in {429, 503})


def test_entry_without_a_catalogue_is_not_ready():
    """Guards against 401 for all callers right after a start."""
    tier = Tier()
    tier.view = TierView()
    application = CallerApplication(tier.entry, tier.view, lambda: '')
    response, answer = post(application, QUERY)
    assert response.status == 503
    assert (answer['outcome'], answer['reason']) == ('refused', 'no_catalogue')


def test_readiness_and_unknown_paths():
    """Guards against traffic to an instance that is not ready."""
    reasons = ['starting', '']
    application = make_application(Tier(), lambda: reasons.pop(0))
    ready = Request('GET', '/readyz', {}, '', b'')
    assert application.handle(ready).status == 503
    assert application.handle(ready).status == 200
    other = Request('GET', '/v1/other', {}, '', b'')
    assert application.handle(other).status == 404
    wrong = Request('GET', '/v1/query', {}, '', b'')
    assert application.handle(wrong).status == 405
