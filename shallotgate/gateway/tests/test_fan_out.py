"""Completion of a fan-out."""

import asyncio
import time

from shallotgate.aio import Reply
from shallotgate.gateway._call import Call
from shallotgate.gateway._dispatch import Outcome
from shallotgate.gateway._fan_out import FanOut
from shallotgate.routes import Route
from testkit.virtual import run_virtual


class LateDispatch:
    """Has a reply that its task has not processed by the deadline."""

    may_have_run = True

    async def run(self):
        await asyncio.sleep(10)

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
        return await FanOut(call, lambda name, may: LateDispatch()).run()

    gathered = run_virtual(play())
    assert gathered.status == 'answered'
    assert gathered.missing == 0
    assert gathered.body == b'r' * 16
