import json

from shallotgate.cli._explain import explain

LINE = {
    'time': '2026-01-01 00:00:02',
    'instance': 'entry-1',
    'request_id': 'r1',
    'route': 'all',
    'table_version': 7,
    'time_allowed_ms': 990,
    'objective_ms': 100,
    'status': 502,
    'duration_ms': 8.5,
    'steps': [
        {'step': 'sent', 'at_ms': 0.2, 'service': 's1', 'target': 'i-1'},
        {'step': 'lost', 'at_ms': 8.0, 'target': 'i-1', 'error': 'reset'},
    ],
}


def test_lines_of_all_instances_are_put_in_order(tmp_path, capsys):
    """Guards against omitting the instance that handled the first attempt."""
    first = {**LINE, 'time': '2026-01-01 00:00:01', 'instance': 'entry-2'}
    (tmp_path / 'a').write_text(
        f'noise with r1\n 12.5 host {json.dumps(LINE)}\n{{"request_id": "r1',
    )
    (tmp_path / 'b').write_text(
        json.dumps(first) + '\n' + json.dumps({**LINE, 'request_id': 'r2'}),
    )
    assert explain('r1', tmp_path / 'a', tmp_path / 'b') == 0
    output = capsys.readouterr().out
    assert output.index('entry-2') < output.index('entry-1')
    assert output.count('lost: target i-1, error reset') == 2
    assert '502 after 8.5 ms of 990 ms' in output


def test_unknown_request_is_said_so(tmp_path, capsys):
    (tmp_path / 'a').write_text(json.dumps(LINE))
    assert explain('r9', tmp_path / 'a') == 1
    assert 'r9' in capsys.readouterr().err
