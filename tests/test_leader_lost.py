import pytest

from testkit.runner import wait_until
from tests.support import (
    WAIT_TIMEOUT_S,
    SteadyLoad,
    find_leader,
    is_serving,
    make_tier,
    wait_complete,
)

ANSWERS = 150


@pytest.fixture
def tier(seed):
    with make_tier(seed) as tier:
        tier.start()
        wait_complete(tier)
        yield tier
        assert tier.list_breaches() == []


def check_outcomes(load):
    print(f'answers: {dict(load.count())}')
    assert load.list_with_outcomes('refused', 'failed', 'unknown', 'cut') == []
    assert load.count()['complete'] > ANSWERS


def test_kill_of_the_leader_causes_no_refusal(tier, seed):
    """Guards against callers that are refused during an election."""
    leader = find_leader(tier)
    others = [name for name in tier.instances if name != leader]
    with SteadyLoad(tier, seed, lambda: others) as load:
        load.wait_further(ANSWERS)
        tier.instances[leader].kill()
        successor = find_leader(tier, *others)
        load.wait_further(ANSWERS)
        tier.restart(leader)
        load.wait_further(ANSWERS)
    assert successor != leader
    check_outcomes(load)


def test_stop_of_the_leader_causes_no_refusal(tier, seed):
    """Guards against a leader that stops before a successor is elected."""
    leader = find_leader(tier)
    others = [name for name in tier.instances if name != leader]
    rotation = [list(tier.instances)]
    with SteadyLoad(tier, seed, lambda: rotation[0]) as load:
        load.wait_further(ANSWERS)
        process = tier.instances[leader]
        process.terminate()
        wait_until(
            lambda: not is_serving(tier, leader),
            WAIT_TIMEOUT_S,
            f'{leader} not ready',
        )
        rotation[0] = others
        assert process.wait(WAIT_TIMEOUT_S) == 0
        successor = find_leader(tier, *others)
        load.wait_further(ANSWERS)
    assert successor != leader
    check_outcomes(load)
