import pytest

from testkit.runner import wait_until
from tests.support import (
    WAIT_TIMEOUT_S,
    check_limits,
    is_owned_by_others,
    make_deployment,
    restart_target,
    run_loaded,
    set_target_behavior,
)

COLD_MS = 6000


@pytest.mark.parametrize('fault', ['kill', 'freeze', 'isolate'])
def test_limits_hold_while_owners_change(fault):
    """Guards against two owners dispatching to one target at once."""
    with run_loaded(make_deployment(), proxied=True) as (tier, load):
        lost = 'entry-b'
        process = tier.instances[lost]
        if fault == 'isolate':
            # An isolated entry serves its own callers until its lease expires.
            tier.isolate(lost)
        else:
            load.entries.remove(lost)
            process.kill() if fault == 'kill' else process.freeze()
        wait_until(
            lambda: is_owned_by_others(tier, 'entry-a', lost),
            WAIT_TIMEOUT_S,
            'the targets have other owners',
        )
        load.wait_further(200)
        if fault == 'kill':
            tier.restart(lost)
        elif fault == 'freeze':
            process.resume()
        else:
            links = tier.proxy.list_links()
            tier.proxy.heal(*(link for link in links if link[0] != '>'))
        tier.wait_ready(lost)
        load.entries = list(tier.instances)
        load.wait_further(400)
        check_limits(tier)


def test_cold_target_is_not_overfed():
    """Guards against full load on a target that has just started.

    One target restarts cold; another becomes cold without a restart.
    """
    with run_loaded(make_deployment(COLD_MS)) as (tier, load):
        restart_target(tier, 'trace-0-a')
        load.wait_further(400)
        set_target_behavior(tier, 'trace-1-b', turn_cold_ms=COLD_MS)
        load.wait_further(400)
        for name in ('trace-0-a', 'trace-1-b'):
            assert set_target_behavior(tier, name)['ran'] > 0
        check_limits(tier)
