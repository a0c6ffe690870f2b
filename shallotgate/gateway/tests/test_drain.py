"""Requests that meet a planned stop of their entry, without network."""

import asyncio

import pytest

from testkit.gateway import SimulatedEntry
from testkit.virtual import run_virtual

STOP_S = 6.0
ENDS_S = 5.5


def play(arrivals_s, service_time_s, **route):
    """Return status, end in seconds after the signal and runs by request.

    Requests arrive at some seconds after the signal to stop; those before it
    have negative times.
    """

    async def ask(entry, name, delay_s, started_at):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(delay_s)
        response, _ = await entry.send_request(name)
        return response.status, loop.time() - started_at

    async def run():
        entry = SimulatedEntry(
            shards=1, timeout_ms=15000, objective_ms=500, **route
        )
        loop = asyncio.get_running_loop()
        # The entry learns how long the requests take.
        for target in entry.targets['s0']:
            target.service_time_s = service_time_s
        await entry.send_requests(40, per_s=4 / service_time_s)
        lead_s = max(-min(arrivals_s), 0)
        signal_at = loop.time() + lead_s
        asks = [
            asyncio.ensure_future(
                ask(entry, f'at {moment}', moment + lead_s, signal_at)
            )
            for moment in arrivals_s
        ]
        await asyncio.sleep(lead_s)
        entry.gateway.begin_drain(signal_at + ENDS_S)
        answers = await asyncio.gather(*asks)
        runs = {
            f'at {moment}': sum(
                f'at {moment}'.encode() in target.received_ids
                for target in entry.targets['s0']
            )
            for moment in arrivals_s
        }
        return answers, list(runs.values())

    return run_virtual(run())


@pytest.mark.parametrize('is_repeatable', [True, False])
def test_request_that_can_not_end_in_time_is_refused_as_not_run(is_repeatable):
    """Guards against requests taken late in a stop and cut at its end."""
    answers, runs = play([3.0], 4.0, is_repeatable=is_repeatable)
    ((status, ended_s),) = answers
    assert (status, runs) == (503, [0])
    assert ended_s < 3.01


def test_request_that_ends_in_time_is_still_served():
    """Guards against refusals while the balancer still sends callers."""
    answers, _ = play([0.1, 1.0, 3.2, 5.0], 0.05)
    assert [status for status, _ in answers] == [200] * 4


@pytest.mark.parametrize('is_repeatable', [True, False])
def test_request_that_takes_longer_than_usual_gets_an_answer(is_repeatable):
    """Guards against a bare close of a request that was passed on.

    Targets turn slow after the request was taken, before or after the signal.
    """

    async def run():
        entry = SimulatedEntry(
            shards=1, timeout_ms=15000, is_repeatable=is_repeatable
        )
        loop = asyncio.get_running_loop()
        await entry.send_requests(40, per_s=50)
        for target in entry.targets['s0']:
            target.paused_until = float('inf')
        before = asyncio.ensure_future(entry.send_request('before'))
        await asyncio.sleep(0.5)
        signal_at = loop.time()
        entry.gateway.begin_drain(signal_at + ENDS_S)
        after = asyncio.ensure_future(entry.send_request('after'))
        answers = await asyncio.gather(before, after)
        statuses = [response.status for response, _ in answers]
        return statuses, loop.time() - signal_at

    statuses, ended_s = run_virtual(run())
    # Nothing is promised: the targets may run the requests.
    assert statuses == [504, 504]
    assert ended_s == pytest.approx(ENDS_S, abs=0.1)


def test_gathered_answer_is_delivered_at_the_end_with_the_parts_at_hand():
    """Guards against discarding parts because the entry stops."""

    async def run():
        entry = SimulatedEntry(
            shards=5, timeout_ms=15000, objective_ms=9000, min_coverage=0.6
        )
        await entry.send_requests(40, per_s=50)
        for target in entry.targets['s0']:
            target.paused_until = float('inf')
        loop = asyncio.get_running_loop()
        entry.gateway.begin_drain(loop.time() + ENDS_S)
        response, _ = await entry.send_request('x')
        return response.status

    assert run_virtual(run()) == 200
