"""Completion of a fan-out."""

import asyncio
import time

from shallotgate.aio import Reply
from shallotgate.gateway._call import Call
from shallotgate.gateway._dispatch import Outcome
from shallotgate.gateway._fan_out import FanOut
from shallotgate.routes import Route
from testkit.gateway import SimulatedEntry
from testkit.virtual import run_virtual


class LateDispatch:
    """Has a reply that its task has not processed by the deadline."""

    sent_count = 1

    async def run(self):
        await asyncio.sleep(10)

    def reserve(self):
        return True

    @property
    def selection(self):
        return self

    needs_permit = False

    def start(self):
        """The reply is there already."""

    def abandon(self):
        """Nothing is in flight."""

    def process_settled(self):
        return Outcome('answered', Reply(200, [], b'r' * 16), b'signature')


def test_answers_that_come_at_the_deadline_are_delivered():
    """Guards against a failure although all replies have arrived."""

    async def play():
        route = Route(
            'r',
            'host',
            '/',
            is_repeatable=True,
            timeout_ms=100,
            objective_ms=50,
            max_attempts=2,
            shards=('a', 'b'),
            top_count=1,
            min_coverage=1,
        )
        now = time.monotonic()
        call = Call(
            caller=None,
            content=None,
            route=route,
            version=1,
            received_at=now,
            deadline=now + 0.1,
            answer_by=now + 0.05,
        )
        return await FanOut(
            call, lambda name, may: LateDispatch(), permits=None
        ).run()

    gathered = run_virtual(play())
    assert gathered.status == 'answered'
    assert gathered.missing == 0
    assert gathered.body == b'r' * 16


def test_too_few_shards_with_a_target_cost_the_others_nothing():
    """Guards against work at most shards for an answer that can't be made.

    It ended with a failure that does not tell that another entry may serve the
    request, and the callers' retries met the same targets again.
    """

    async def play():
        entry = SimulatedEntry(shards=10, min_coverage=0.9)
        for service in ('s3', 's7'):
            for target in entry.targets[service]:
                target.is_up = False
        await entry.send_request('finds the targets down')
        # The other shards answer and leave open connections.
        await asyncio.sleep(0.05)
        asked = sum(len(each.received_ids) for each in entry.list_all_targets())
        response, duration_ms = await entry.send_request('q')
        await asyncio.sleep(0.05)
        asked -= sum(
            len(each.received_ids) for each in entry.list_all_targets()
        )
        return response, duration_ms, asked

    response, duration_ms, asked = run_virtual(play())
    assert response.status == 503
    assert (asked, duration_ms) == (0, 0)


def test_one_shard_without_a_target_is_left_out():
    """Guards against a refusal although enough shards can answer."""

    async def play():
        entry = SimulatedEntry(shards=10, min_coverage=0.9)
        for target in entry.targets['s3']:
            target.is_up = False
        await entry.send_request('finds the targets down')
        return await entry.send_request('q')

    response, _ = run_virtual(play())
    assert response.status == 200
    assert dict(response.headers)[b'missing'] == b'1'
