import signal

import pytest

from shallotgate.settings import load_operator_keys, load_settings
from testkit.runner import (
    CallerPlan,
    Deployment,
    InstancePlan,
    ManagedProcess,
    ServicePlan,
    TargetPlan,
    Tier,
    WaitTimeoutError,
    make_catalogue_edits,
    wait_until,
)

SERVICE = ServicePlan(
    name='trace-01',
    group='trace',
    owner='trace',
    targets=(TargetPlan('trace-01-a', 'a'),),
    slots=3,
    connections=30,
    connect_ms=6,
)
SMALL = Deployment(
    region='r',
    owner='platform',
    instances=(
        InstancePlan('a-1', 'a', control=True),
        InstancePlan('b-1', 'b'),
    ),
    services=(SERVICE,),
    callers=(CallerPlan('teller', 'platform', 'key', ('tell',)),),
    classes={'tell': {'mode': 'coverage', 'deadline_ms': 500}},
    settings={'abort_on_breach': True},
)
# An interpreter start can take 10 s on a machine loaded to twice its capacity.
START_TIMEOUT_S = 90
# The signal is blocked and waited for: a handler would miss one that comes
# between the interpreter's last check and the system call of a sleep.
SCRIPT = """
import signal, sys
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
print('{"message": "Up."}', flush=True)
sys.exit(signal.sigtimedwait({signal.SIGTERM}, 60) is None)
"""


@pytest.fixture
def process(tmp_path):
    script = ManagedProcess('p', ('-c', SCRIPT), tmp_path / 'p.log')
    script.start()
    wait_until(lambda: 'Up.' in script.read_log(), START_TIMEOUT_S, 'start')
    yield script
    script.kill()


def test_process_is_stopped_frozen_and_killed(process):
    """Guards against fault injection that has no effect on the process."""
    process.freeze()
    process.resume()
    assert process.stop() == 0
    process.start()
    wait_until(
        lambda: process.read_log().count('Up.') > 1, START_TIMEOUT_S, 'start'
    )
    process.kill()
    assert process.exits == [0, -signal.SIGKILL]
    assert not process.is_running()
    messages = [record['message'] for record in process.list_log_records()]
    assert messages == ['Up.', 'Up.']


def test_frozen_process_is_killed_at_the_end(process):
    """Guards against frozen processes that survive the end of their test."""
    process.freeze()
    process.kill()
    assert process.exits == [-signal.SIGKILL]


def test_settings_of_all_instances_are_valid():
    """Guards against generated settings that fail validation in the daemon."""
    with Tier(SMALL, proxied=True) as tier:
        for name in tier.instances:
            settings = load_settings(tier.folder / f'{name}.yaml')
            assert settings.abort_on_breach
            assert set(settings.peer_routes) == {'a-1', 'b-1'} - {name}
        assert load_operator_keys(tier.folder / 'operators.yaml')
        assert set(tier.proxy.list_links()) == {
            'a-1>b-1',
            'b-1>a-1',
            '>trace-01-a',
        }
    assert not tier.folder.exists()


def test_catalogue_edits_come_in_dependency_order():
    """Guards against services listed before the domains they refer to."""
    edits = make_catalogue_edits(SMALL, {'trace-01-a': '127.0.0.1:1'})
    assert [edit['kind'] for edit in edits] == [
        'domains',
        'domains',
        'classes',
        'callers',
        'services',
    ]


def test_breaches_are_found_in_status_and_log(tmp_path):
    """Guards against invariant breaches that a run fails to report."""
    with Tier(SMALL) as tier:
        text = "import sys; print('Invariant broken.'); sys.exit(70)"
        broken = ManagedProcess('x', ('-c', text), tmp_path / 'x.log')
        broken.start()
        broken.wait(20)
        tier.targets['x'] = broken
        assert len(tier.list_breaches()) == 2


def test_wait_until_raises_after_timeout():
    """Guards against tests that hang when a condition never holds."""
    with pytest.raises(WaitTimeoutError, match='never'):
        wait_until(lambda: False, 0.05, 'never')
