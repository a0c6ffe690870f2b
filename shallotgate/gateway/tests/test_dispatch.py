"""Attempts of one request on one service, without network."""

import asyncio

import pytest

from testkit.gateway import SimulatedEntry
from testkit.virtual import run_virtual


def count_arrivals(entry):
    return sum(len(target.received_ids) for target in entry.targets['s0'])


def ask_once(prepare, **route):
    """Return status, arrivals, completed runs and duration."""

    async def play():
        entry = SimulatedEntry(shards=1, **route)
        prepare(entry.targets['s0'])
        response, duration_ms = await entry.send_request('x')
        await asyncio.sleep(1)
        finished = sum(len(one.completed_ids) for one in entry.targets['s0'])
        return response.status, count_arrivals(entry), finished, duration_ms

    return run_virtual(play())


def lose(targets):
    for target in targets:
        target.drops_connection = True


def shed(targets):
    for target in targets:
        target.is_not_run = True


def go_down(targets):
    for target in targets:
        target.is_up = False


def test_once_only_request_is_not_sent_again_after_a_lost_reply():
    """Guards against a second run, or a false report of "not run"."""
    status, arrivals, _, _ = ask_once(lose, is_repeatable=False)
    assert (status, arrivals) == (502, 1)


def test_once_only_request_goes_on_after_a_target_did_not_run_it():
    """Guards against refusals while another target has capacity."""

    def prepare(targets):
        for target in targets[:2]:
            target.is_not_run = True

    async def play():
        entry = SimulatedEntry(shards=1, is_repeatable=False, max_attempts=1)
        await entry.send_requests(30, per_s=100)
        prepare(entry.targets['s0'])
        return [
            (await entry.send_request(f'x{number}'))[0].status
            for number in range(5)
        ]

    assert run_virtual(play()) == [200] * 5


def test_slow_once_only_request_gets_no_second_attempt():
    """Guards against hedging of requests that must run only once."""

    def prepare(targets):
        for target in targets:
            target.service_time_s = 0.5

    status, arrivals, finished, _ = ask_once(prepare, is_repeatable=False)
    assert (status, arrivals, finished) == (200, 1, 1)


@pytest.mark.parametrize('is_repeatable', [True, False])
def test_refused_by_all_targets_is_not_run(is_repeatable):
    """Guards against a failure status for a request that never ran."""
    status, _, finished, duration_ms = ask_once(
        shed,
        is_repeatable=is_repeatable,
    )
    assert (status, finished) == (503, 0)
    assert duration_ms < 50


def test_no_target_up_is_refused_at_once():
    """Guards against waiting for a service that is down."""
    status, arrivals, _, duration_ms = ask_once(go_down)
    assert (status, arrivals) == (503, 0)
    assert duration_ms < 50


def test_repeatable_request_runs_on_at_most_max_attempts_targets():
    """Guards against attempts on every target."""
    status, arrivals, _, _ = ask_once(lose, max_attempts=2)
    assert status == 502
    assert arrivals <= 2


def test_unanswered_request_ends_at_its_deadline():
    """Guards against requests without a final answer."""

    def prepare(targets):
        for target in targets:
            target.service_time_s = 60

    status, _, _, duration_ms = ask_once(prepare, timeout_ms=300)
    assert status == 504
    assert 280 < duration_ms < 300


def test_extra_attempts_stay_within_the_budget_while_targets_shed():
    """Guards against retries that amplify an overload."""

    async def play():
        entry = SimulatedEntry(shards=1, slack=20)
        shed(entry.targets['s0'])
        await entry.send_requests(500, per_s=50)
        return count_arrivals(entry)

    # 500 first attempts, the ratio of 0.2 and the slack.
    assert run_virtual(play()) <= 500 + 0.2 * 500 + 20


def hang(targets):
    for target in targets:
        target.is_unresponsive = True


def test_request_that_was_never_sent_is_refused_as_not_run():
    """Guards against an unknown outcome at a deadline during a connect.

    A caller may repeat what is stated as not run.
    """
    status, arrivals, _, _ = ask_once(hang, timeout_ms=300, is_repeatable=False)
    assert (status, arrivals) == (503, 0)


@pytest.mark.parametrize('is_repeatable', [True, False])
def test_target_that_accepts_no_connection_is_replaced(is_repeatable):
    """Guards against waiting for a connect timeout, and against spending the
    budget on a request that has not been sent yet."""

    async def play():
        entry = SimulatedEntry(
            shards=1, slack=0, is_repeatable=is_repeatable, objective_ms=100
        )
        hang(entry.targets['s0'][:2])
        return await entry.send_request('q')

    answer, duration_ms = run_virtual(play())
    assert answer.status == 200
    # Two hedge delays of 2.2 initial medians of 25 ms each, and the service.
    assert duration_ms < 130


def test_replaced_attempt_keeps_its_permit():
    """Guards against a refusal because the permit of an attempt that was never
    sent is gone.

    The budget has one extra attempt, for the one after the first target shed.
    """

    async def play(seed):
        entry = SimulatedEntry(shards=1, slack=6, seed=seed, objective_ms=100)
        first, second, _ = entry.targets['s0']
        first.is_not_run = True
        second.is_unresponsive = True
        answer, _ = await entry.send_request('q')
        return answer.status

    assert {run_virtual(play(seed)) for seed in range(8)} == {200}
