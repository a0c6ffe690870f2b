import pytest

from testkit.runner import wait_until
from tests.support import (
    LIMIT_S,
    change_target,
    check_limits,
    is_owned_by_others,
    make_deployment,
    restart_target,
    run_loaded,
)

COLD_MS = 6000


@pytest.mark.parametrize('fault', ['kill', 'freeze', 'isolate'])
def test_limits_hold_while_owners_change(fault):
    """Guards against two owners that feed one target at the same time."""
    with run_loaded(make_deployment(), proxied=True) as (tier, load):
        lost = 'entry-b'
        process = tier.instances[lost]
        if fault == 'isolate':
            # Cut off, it serves its own callers until its lease ends.
            tier.isolate(lost)
        else:
            load.entries.remove(lost)
            process.kill() if fault == 'kill' else process.freeze()
        wait_until(
            lambda: is_owned_by_others(tier, 'entry-a', lost),
            LIMIT_S,
            'the targets have other owners',
        )
        load.wait_more(200)
        if fault == 'kill':
            tier.restart(lost)
        elif fault == 'freeze':
            process.resume()
        else:
            links = tier.proxy.list_links()
            tier.proxy.heal(*(link for link in links if link[0] != '>'))
        tier.wait_ready(lost)
        load.entries = list(tier.instances)
        load.wait_more(400)
        check_limits(tier)


def test_cold_target_is_not_overfed():
    """Guards against full load on a target that has just started.

    One target restarts cold; another turns cold without a warning.
    """
    with run_loaded(make_deployment(COLD_MS)) as (tier, load):
        restart_target(tier, 'trace-0-a')
        load.wait_more(400)
        change_target(tier, 'trace-1-b', turn_cold_ms=COLD_MS)
        load.wait_more(400)
        for name in ('trace-0-a', 'trace-1-b'):
            assert change_target(tier, name)['ran'] > 0
        check_limits(tier)
