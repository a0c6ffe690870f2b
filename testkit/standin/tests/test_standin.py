import threading

import msgspec
import pytest
import urllib3

from testkit.standin import StandinProcess, make_matches

QUERY = {'item': 'cheque-7', 'key': 'key-1'}


@pytest.fixture
def standin():
    process = StandinProcess('t', ['--service-ms=20', '--versions', '7:4:0,2'])
    process.start()
    yield process
    process.stop()


def run(standin, **fields):
    content = {
        'attempt_id': 'a',
        'request_id': 'r',
        'index_version': 7,
        'partition': 2,
        'limit': 100,
        'deadline_ms': 1000,
        'once_only': False,
        'query': QUERY,
    }
    response = urllib3.request(
        'POST',
        f'http://{standin.address}/v1/run',
        body=msgspec.json.encode({**content, **fields}),
        retries=False,
        headers={'Connection': 'close'},
    )
    return msgspec.json.decode(response.data)


def test_matches_can_be_computed_again(standin):
    """Guards against merges that can't be verified."""
    reply = run(standin)
    assert reply['matches'] == make_matches(QUERY, 7, 2)
    assert run(standin, limit=1)['truncated']


@pytest.mark.parametrize(
    ('fields', 'status'),
    [
        ({'partition': 1}, 'wrong_version'),
        ({'index_version': 8}, 'wrong_version'),
        ({'deadline_ms': 0}, 'late'),
    ],
)
def test_refusals_are_not_run(standin, fields, status):
    """Guards against a refusal that counts or runs the attempt."""
    assert run(standin, **fields)['status'] == status
    assert not standin.change()['ran_requests']


def test_slots_are_real(standin):
    """Guards against a stand-in that runs more than it has slots."""
    statuses = []
    threads = [
        threading.Thread(target=lambda: statuses.append(run(standin)['status']))
        for _ in range(12)
    ]
    standin.change(slow_factor=10)
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    counters = standin.change()['counters']
    assert counters['most_busy'] == 3
    assert counters['ran'] == statuses.count('ok')
    assert counters['shed'] == statuses.count('shed') > 0


def test_crash_on_content_ends_the_process(standin):
    """Guards against crash tests that crash nothing."""
    assert run(standin, query={'crash': True})['status'] == 'ok'
    standin.change(crash_on_content=True)
    with pytest.raises(urllib3.exceptions.HTTPError):
        run(standin, query={'crash': True})
    standin.stop()
    standin.start()
    assert standin.change()['ran_keys'] == {}
    assert run(standin)['status'] == 'ok'
    assert standin.change()['ran_keys'] == {'key-1': 1}


def test_overfed_cold_target_collapses(standin):
    """Guards against cold tests that any feeding would pass."""
    standin.change(turn_cold_ms=60_000, overfeed_ms=1)
    threads = [threading.Thread(target=run, args=(standin,)) for _ in range(3)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert standin.change()['counters']['collapses'] == 1
    assert run(standin)['status'] == 'failed'
