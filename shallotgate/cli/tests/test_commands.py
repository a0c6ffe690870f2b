from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from shallotgate.cli import ExitCode, main
from shallotgate.cli._client import HttpClient, UnknownOutcomeError
from shallotgate.codec import decode_json
from shallotgate.http import HttpServer, Request, Response, make_json_response
from shallotgate.http_client.tests.raw_server import serve_bytes

DOMAIN = {'owner': 'ana', 'region': 'r', 'taken_out': False}
CATALOGUE = {'version': 7, 'domains': {'a': DOMAIN}}
VERDICT = {'change_id': 'x', 'outcome': 'accepted', 'version': 8}
EDITS = """\
reason: new domain
edits:
- op: put
  kind: domains
  name: b
  spec: {owner: ana, region: r}
"""


class FakeInstance:
    """Instance whose responses each test sets."""

    def __init__(self) -> None:
        self.answers: dict[str, Any] = {
            'GET /v1/catalogue': (200, CATALOGUE),
            'GET /v1/status': (200, _make_status(8)),
            'POST /v1/catalogue': (200, VERDICT),
        }
        self.bodies: list[Any] = []
        self.tokens: set[str] = set()

    def handle(self, request: Request) -> Response:
        self.tokens.add(request.bearer)
        if request.body:
            self.bodies.append(decode_json(request.body, object))
        answer = self.answers[f'{request.method} {request.path}']
        if isinstance(answer, list):
            answer = answer.pop(0)
        return make_json_response(*answer)


def _make_status(version: int) -> dict[str, Any]:
    return {'instances': [{'versions': {'catalogue': version}}] * 3}


@pytest.fixture
def server(monkeypatch) -> Iterator[FakeInstance]:
    application = FakeInstance()
    http = HttpServer('127.0.0.1:0', application, 2, 100_000)
    http.start()
    monkeypatch.setenv('SHALLOTGATE_URL', http.address)
    monkeypatch.setenv('SHALLOTGATE_TOKEN', 'secret')
    yield application
    http.stop()


@pytest.fixture
def edits(tmp_path) -> str:
    path = tmp_path / 'edits.yaml'
    path.write_text(EDITS)
    return str(path)


@pytest.mark.parametrize(
    ('outcome', 'status', 'code'),
    [
        ('complete', 200, ExitCode.OK),
        ('partial', 200, ExitCode.PARTIAL),
        ('refused', 503, ExitCode.FAILED),
        ('refused', 400, ExitCode.BAD_INPUT),
        ('failed', 200, ExitCode.FAILED),
        ('unknown', 200, ExitCode.UNKNOWN),
    ],
)
def test_query_exit_code_follows_the_outcome(
    server, capsys, outcome, status, code
):
    """Guards against a partial answer with the exit code of a complete one."""
    answer = {
        'request_id': 'r',
        'outcome': outcome,
        'shards': {
            'asked': 2,
            'answered': 1,
            'missing': [{'partition': 1, 'reason': 'late'}],
        },
        'matches': [{'item': 'x'}],
    }
    server.answers['POST /v1/query'] = (status, answer)
    assert main(['query', 'trace', 'tell', '{"item": "x"}']) == code
    shown = capsys.readouterr().out
    assert 'missing shard 1: late' in shown
    assert 'item: x' in shown
    assert server.bodies[0]['query'] == {'item': 'x'}
    assert server.tokens == {'secret'}


def test_query_without_json_is_not_sent(server):
    """Guards against sending a query that is not a JSON object."""
    assert main(['query', 'trace', 'tell', 'item=x']) == ExitCode.BAD_INPUT
    assert not server.bodies


def test_change_is_sent_and_waits_until_in_force(server, capsys, edits):
    """Guards against exiting before all instances applied the change."""
    server.answers['GET /v1/status'] = [
        (200, _make_status(7)),
        (200, _make_status(8)),
    ]
    assert main(['catalogue', 'change', edits]) == ExitCode.OK
    (change,) = server.bodies
    assert change['base_version'] == 7
    assert change['reason'] == 'new domain'
    messages = capsys.readouterr().err
    assert 'in force on 0 of 3 instances' in messages
    assert 'in force on 3 of 3 instances' in messages


def test_unknown_change_is_resent_with_its_id(server, monkeypatch, edits):
    """Guards against a change applied twice, or applied but reported lost."""
    monkeypatch.setattr('shallotgate.cli._changes._RESEND_DELAY_S', 0)
    # A 503 for a resend doesn't mean that the first request had no effect.
    server.answers['POST /v1/catalogue'] = [
        (504, {'outcome': 'unknown'}),
        (503, {'outcome': 'refused'}),
        (200, VERDICT),
    ]
    assert main(['catalogue', 'change', edits, '--no-wait']) == ExitCode.OK
    assert server.bodies[0] == server.bodies[1] == server.bodies[2]
    server.answers['POST /v1/catalogue'] = (504, {'outcome': 'unknown'})
    assert main(['catalogue', 'change', edits]) == ExitCode.UNKNOWN


def test_faults_of_edits_are_found_with_their_lines(server, capsys, edits):
    """Guards against reporting only one of several errors per run."""
    malformed = EDITS.replace('owner: ana', 'owner: 7').replace(
        'region', 'place'
    )
    Path(edits).write_text(malformed.replace('op: put', 'op: put\n  x: 1'))
    assert main(['catalogue', 'change', edits]) == ExitCode.BAD_INPUT
    assert not server.bodies
    lines = capsys.readouterr().err.replace(edits, 'F').splitlines()
    assert lines == [
        'F:4: edits/0/x: is unknown',
        'F:7: edits/0/spec/owner: must be of type string',
        'F:7: edits/0/spec/place: is unknown',
        'F:7: edits/0/spec/region: is missing',
    ]


@pytest.mark.parametrize(
    ('status', 'outcome', 'code'),
    [
        (409, 'conflict', ExitCode.CONFLICT),
        (422, 'invalid', ExitCode.BAD_INPUT),
        (403, 'forbidden', ExitCode.FAILED),
    ],
)
def test_refused_change_shows_all_reasons(
    server, capsys, edits, status, outcome, code
):
    """Guards against a verdict that is shown without its reasons."""
    verdict = VERDICT | {
        'outcome': outcome,
        'findings': [
            {'path': 'edits/0/spec/region', 'reason': 'is unknown'},
            {'path': 'edits/0', 'reason': 'is wrong'},
        ],
        'differences': [{'kind': 'domains', 'name': 'z', 'change': 'added'}],
    }
    server.answers['POST /v1/catalogue'] = (status, verdict)
    assert main(['catalogue', 'change', edits]) == code
    shown = capsys.readouterr().out
    assert f'{edits}:6: edits/0/spec/region: is unknown' in shown
    assert f'{edits}:3: edits/0: is wrong' in shown
    assert 'domains  z     added' in shown


def test_domain_is_taken_out_despite_another_change(server):
    """Guards against failing on a conflict with an unrelated change."""
    server.answers['POST /v1/catalogue'] = [
        (409, VERDICT | {'outcome': 'conflict'}),
        (200, VERDICT),
    ]
    assert main(['domain', 'take-out', 'a']) == ExitCode.OK
    first, second = server.bodies
    assert first['change_id'] != second['change_id']
    assert second['edits'][0]['spec'] == DOMAIN | {
        'taken_out': True,
        'drain_entries': False,
    }
    assert main(['domain', 'return', 'none']) == ExitCode.BAD_INPUT


def test_pages_for_people_and_for_scripts(server, capsys):
    """Guards against JSON output that scripts can't parse."""
    server.answers['GET /v1/instances'] = (
        200,
        {'instances': [{'instance': 'a-1', 'versions': {'catalogue': 8}}]},
    )
    assert main(['instances']) == ExitCode.OK
    assert 'a-1' in capsys.readouterr().out
    assert main(['instances', '--json']) == ExitCode.OK
    shown = decode_json(capsys.readouterr().out.encode(), dict)
    assert shown['instances'][0]['instance'] == 'a-1'
    for page in ('history', 'targets', 'quarantine', 'snapshots'):
        server.answers[f'GET /v1/{page}'] = (200, [])
    commands = (
        ['catalogue', 'history'],
        ['targets'],
        ['quarantine', 'show'],
        ['snapshots'],
        ['status'],
        ['catalogue', 'show'],
    )
    for command in commands:
        assert main(command) == ExitCode.OK


def test_quarantine_and_control_are_posted(server):
    """Guards against reporting success without sending the request."""
    server.answers['POST /v1/quarantine/lift'] = (200, {'changed': True})
    server.answers['POST /v1/control/replace'] = (401, {'outcome': 'refused'})
    lift = ['quarantine', 'lift', 'd', '--reason', 'mended']
    assert main(lift) == ExitCode.OK
    assert main(['control', 'replace', 'a-1']) == ExitCode.FAILED
    assert server.bodies == [
        {'digest': 'd', 'reason': 'mended'},
        {'instance': 'a-1'},
    ]


def test_unreachable_and_bad_settings(capsys, monkeypatch):
    """Guards against exit codes that hide a bad address or settings file."""
    monkeypatch.delenv('SHALLOTGATE_URL', raising=False)
    assert main(['status']) == ExitCode.UNREACHABLE
    unreachable = ['status', '--url', 'http://127.0.0.1:1']
    assert main(unreachable) == ExitCode.UNREACHABLE
    assert main(['settings', 'check', 'none.yaml']) == ExitCode.BAD_INPUT
    assert 'none.yaml:1' in capsys.readouterr().err


def test_cut_response_is_no_success(monkeypatch):
    """Guards against an acknowledgement that was cut in its head.

    The standard library takes a head that ends early as complete, and its
    empty body as text.
    """
    monkeypatch.setenv('SHALLOTGATE_TOKEN', 'secret')
    for head in (b'HTTP/1.1 200 OK\r\n', b'HTTP/1.1 200 OK\r\nContent-Le'):
        cut = serve_bytes(head)
        with cut as server, pytest.raises(UnknownOutcomeError):
            HttpClient(server.address, 'secret').call('GET', '/v1/status')
