"""Requests for extra attempts to the leader."""

import asyncio

from shallotgate.gateway import RetryGrantClient
from shallotgate.generated.messages import GrantExtras
from testkit.virtual import run_virtual


class Leader:
    """Records the requests that it receives."""

    def __init__(self, is_known=True):
        self.is_known = is_known
        self.asked = []

    def take(self, ask):
        self.asked.append(ask)
        return self.is_known


def play(leader, steps):
    """Return the results passed to the callbacks of a client."""
    answers = []

    async def run():
        client = RetryGrantClient(leader.take, lambda: 10)
        await steps(client, answers)
        await asyncio.sleep(1)

    run_virtual(run())
    return answers


def ask(client, answers, *services):
    for service in services:
        client.request(
            service, lambda lent, name=service: answers.append((name, lent))
        )


def test_what_is_wanted_at_a_time_goes_out_in_one_message():
    """Guards against one message per shard of a fan-out."""
    leader = Leader()

    async def steps(client, answers):
        ask(client, answers, 'a', 'b', 'a')
        await asyncio.sleep(0.001)
        client.handle_grant(GrantExtras(number=1, counts=[1, 1]))

    answers = play(leader, steps)
    assert [(one.services, one.counts) for one in leader.asked] == [
        (['a', 'b'], [2, 1])
    ]
    assert sorted(answers) == [('a', False), ('a', True), ('b', True)]


def test_silent_leader_costs_one_short_wait():
    """Guards against each request waiting for a lost leader in turn."""
    leader = Leader()

    async def steps(client, answers):
        ask(client, answers, 'a')
        await asyncio.sleep(0.05)
        assert answers == [('a', False)]
        ask(client, answers, 'b')
        assert answers == [('a', False), ('b', False)]
        await asyncio.sleep(0.5)
        ask(client, answers, 'c')

    play(leader, steps)
    assert [one.services for one in leader.asked] == [['a'], ['c']]


def test_answer_after_the_wait_is_not_used():
    """Guards against a late grant being applied to the next request."""
    leader = Leader()

    async def steps(client, answers):
        ask(client, answers, 'a')
        await asyncio.sleep(0.5)
        ask(client, answers, 'b')
        await asyncio.sleep(0.001)
        client.handle_grant(GrantExtras(number=1, counts=[1]))
        assert answers == [('a', False)]
        client.handle_grant(GrantExtras(number=2, counts=[1]))

    assert play(leader, steps) == [('a', False), ('b', True)]


def test_without_a_leader_the_answer_is_no():
    """Guards against requests waiting for a reply that never comes."""

    async def steps(client, answers):
        ask(client, answers, 'a', 'b')
        await asyncio.sleep(0.001)
        assert answers == [('a', False), ('b', False)]

    play(Leader(is_known=False), steps)
