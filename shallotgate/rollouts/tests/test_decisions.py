"""Decisions on orders under load, in virtual time and without a network.

58 entries have about one request a second each for a service with 3 targets of
each version, unless a test says otherwise. Of the replies of a sound version,
0.4 percent are failures and 4.6 percent are slow.
"""

import random

import pytest

from shallotgate.rollouts.tests.simulation import Simulation

SEEDS = (1, 2, 3)


def make_judge(seed, failing=None, slow=None):
    """Return the judge of replies; the arguments give shares for the candidate.

    They get the route, the target and the time since the order.
    """
    generator = random.Random(seed)

    def judge(version, route, target, elapsed_s):
        where = (route, target, elapsed_s)
        shares = [0.004, 0.046]
        if version == 'v2':
            shares[0] += failing(*where) if failing else 0
            shares[1] += slow(*where) if slow else 0
        if generator.random() < shares[0]:
            return 'failed'
        return 'slow' if generator.random() < shares[1] else 'good'

    return judge


def simulate(seed, failing=None, slow=None, **options):
    return Simulation(make_judge(seed, failing, slow), seed=seed, **options)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('duration_s', [5, 10, 30, 60])
def test_good_version_is_completed_in_time(seed, duration_s):
    """Guards against orders that end with the deadline or not at all."""
    simulate(seed, duration_s=duration_s).check_good()


@pytest.mark.parametrize('seed', SEEDS)
def test_entries_use_the_new_version_before_it_is_completed(seed):
    """Guards against refusals when the platform stops the old targets."""
    simulation = simulate(seed)
    simulation.run(20)
    while simulation.state == 'running':
        before = dict(simulation.sent)
        simulation.run(simulation.elapsed_s + 0.3)
    sent = {name: simulation.sent[name] - before[name] for name in before}
    assert sent['v2'] > 0.9 * sum(sent.values())


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('share', [0.25, 0.5, 1])
def test_version_that_fails_from_the_start_is_rolled_back(seed, share):
    simulate(seed, failing=lambda *_: share).check_bad()


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('share', [0.3, 0.8])
def test_version_that_is_slow_is_rolled_back(seed, share):
    simulate(seed, slow=lambda *_: share).check_bad()


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('begins_s', [8, 15, 21])
def test_version_that_turns_bad_late_is_rolled_back(seed, begins_s):
    """Guards against good replies that outweigh the recent bad ones."""

    def fail(route, target, elapsed_s):
        return 0.5 if elapsed_s > begins_s else 0

    simulate(seed, failing=fail).check_bad()


@pytest.mark.parametrize('seed', SEEDS)
def test_version_that_is_slow_under_load_only_is_rolled_back(seed):
    """Guards against a ramp that does not look at the replies any more."""
    simulation = None

    def slow(*_):
        return 0.5 if simulation.shares[-1:] > [0.2] else 0

    simulation = simulate(seed, slow=slow)
    simulation.check_bad()


@pytest.mark.parametrize('seed', SEEDS)
def test_version_that_is_bad_on_one_route_is_rolled_back(seed):
    """Guards against a fault that the replies of other routes hide."""

    def fail(route, *_):
        return 0.8 if route == 'rare' else 0

    routes = ('usual',) * 5 + ('rare',)
    simulate(seed, failing=fail, routes=routes).check_bad()


@pytest.mark.parametrize('seed', SEEDS)
def test_repeats_of_failed_requests_count_as_exposure(seed):
    """Guards against twice the exposure by attempts that repeat others."""
    simulate(seed, failing=lambda *_: 0.5, repeats=True).check_bad()


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('share', [0, 0.5])
def test_service_with_few_requests_is_decided_in_time(seed, share):
    """Guards against waiting for replies that one in 25 requests can't give."""
    options = {'entries': 10, 'per_s': 2}
    simulation = simulate(seed, failing=lambda *_: share, **options)
    simulation.run_to_end()
    assert simulation.state == ('rolled_back' if share else 'completed')


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('begins_s', [5, 20])
def test_one_slow_target_is_no_fault_of_the_version(seed, begins_s):
    """Guards against rolling a good version back for a slow machine."""

    def slow(route, target, elapsed_s):
        is_hit = begins_s < elapsed_s < begins_s + 7
        return 0.9 if target == 'v2-0' and is_hit else 0

    simulate(seed, slow=slow).check_good()


@pytest.mark.parametrize('seed', SEEDS)
def test_two_slow_targets_of_three_are_no_fault_of_the_version(seed):
    """Guards against taking most targets for all of them."""

    def slow(route, target, elapsed_s):
        return 0.9 if target != 'v2-2' and 8 < elapsed_s < 15 else 0

    simulate(seed, slow=slow).check_good()


@pytest.mark.parametrize('seed', SEEDS)
def test_trouble_of_both_versions_is_no_fault_of_the_candidate(seed):
    """Guards against a rollback for a fault of the tier or the platform."""
    generator = random.Random(seed)

    def judge(version, route, target, elapsed_s):
        is_trouble = 6 < elapsed_s < 12
        share = 0.5 if is_trouble else 0.05
        return 'slow' if generator.random() < share else 'good'

    Simulation(judge, seed=seed).check_good()


@pytest.mark.parametrize('seed', SEEDS)
def test_version_without_a_target_is_rolled_back_by_the_deadline(seed):
    simulation = simulate(seed, candidates=0)
    # Permits find no target, so nothing is sent to the candidate.
    for each in simulation.entries:
        each.tracker.spend = lambda *_: False
    simulation.run_to_end()
    assert simulation.state == 'rolled_back'
    assert simulation.sent['v2'] == 0


@pytest.mark.parametrize('seed', SEEDS)
def test_too_few_new_targets_do_not_get_all_requests(seed):
    """Guards against a ramp that overloads the one target that started."""
    simulation = simulate(seed, candidates=1)
    simulation.run_to_end()
    assert simulation.state == 'rolled_back'
    assert max(simulation.shares) < 0.2


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('at_s', [3, 15, 24, 26])
def test_good_version_is_completed_despite_another_leader(seed, at_s):
    simulation = simulate(seed)
    simulation.run(at_s)
    simulation.change_leader()
    simulation.run(simulation.duration_s + 5)
    assert simulation.state == 'completed'
    if at_s < 20:
        assert simulation.ended_at < simulation.duration_s


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('loses_all', [False, True])
def test_exposure_counts_across_leaders(seed, loses_all):
    """Guards against each leader granting the whole exposure again."""

    def fail(route, target, elapsed_s):
        return 0.5 if elapsed_s > 20 else 0

    simulation = simulate(seed, failing=fail)
    for at_s in (4, 8, 12, 16):
        simulation.run(at_s)
        simulation.change_leader(loses_all=loses_all)
    simulation.check_bad()


@pytest.mark.parametrize('seed', SEEDS)
def test_loss_of_all_processes_does_not_end_a_good_rollout(seed):
    """Guards against an order that is lost or starts from the beginning."""
    simulation = simulate(seed)
    simulation.run(12)
    simulation.change_leader(2.5, loses_all=True)
    simulation.run(simulation.duration_s + 3)
    assert simulation.state == 'completed'


def test_order_whose_deadline_passes_without_a_leader_is_rolled_back():
    """Guards against completing what nobody has judged."""
    simulation = simulate(1)
    simulation.run(5)
    simulation.change_leader(40)
    simulation.run(50)
    assert simulation.state == 'rolled_back'


@pytest.mark.parametrize('seed', SEEDS)
def test_entry_that_was_frozen_or_cut_off_uses_no_old_permit(seed):
    """Guards against requests to a version that was rolled back meanwhile."""
    simulation = simulate(seed, failing=lambda *_: 0.6)
    simulation.run(1.5)
    held = [each for each in simulation.entries if each.tracker.is_active][::2]
    for number, each in enumerate(held):
        each.is_frozen = bool(number % 2)
        each.is_cut = True
    simulation.run(10)
    for each in held:
        each.is_frozen = False
        assert not each.tracker.holds_permit('s', simulation.now)
    simulation.run(20)
    assert not any(each.tracker.spend('s', simulation.now) for each in held)


def test_entries_without_a_leader_stop_using_the_candidate():
    simulation = simulate(1)
    simulation.run(25.5)
    assert simulation.shares[-1] > 0.5
    simulation.has_leader = False
    simulation.run(27)
    sent = simulation.sent['v2']
    simulation.run(30)
    assert simulation.sent['v2'] == sent
