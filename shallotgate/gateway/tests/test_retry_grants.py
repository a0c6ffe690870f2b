"""Asking the leader for extra attempts."""

import asyncio

from shallotgate.gateway import ExtraBorrower
from shallotgate.generated.messages import GrantExtras
from testkit.virtual import run_virtual


class Leader:
    """Keeps what it is asked."""

    def __init__(self, is_known=True):
        self.is_known = is_known
        self.asked = []

    def take(self, ask):
        self.asked.append(ask)
        return self.is_known


def play(leader, steps):
    """Return the answers that a borrower gave."""
    answers = []

    async def run():
        borrower = ExtraBorrower(leader.take, lambda: 10)
        await steps(borrower, answers)
        await asyncio.sleep(1)

    run_virtual(run())
    return answers


def ask(borrower, answers, *services):
    for service in services:
        borrower.ask(
            service, lambda lent, name=service: answers.append((name, lent))
        )


def test_what_is_wanted_at_a_time_goes_out_in_one_message():
    """Guards against a message for each of the shards of a fan-out."""
    leader = Leader()

    async def steps(borrower, answers):
        ask(borrower, answers, 'a', 'b', 'a')
        await asyncio.sleep(0.001)
        borrower.accept(GrantExtras(number=1, counts=[1, 1]))

    answers = play(leader, steps)
    assert [(one.services, one.counts) for one in leader.asked] == [
        (['a', 'b'], [2, 1])
    ]
    assert sorted(answers) == [('a', False), ('a', True), ('b', True)]


def test_silent_leader_costs_one_short_wait():
    """Guards against requests that wait for a lost leader one by one."""
    leader = Leader()

    async def steps(borrower, answers):
        ask(borrower, answers, 'a')
        await asyncio.sleep(0.05)
        assert answers == [('a', False)]
        ask(borrower, answers, 'b')
        assert answers == [('a', False), ('b', False)]
        await asyncio.sleep(0.5)
        ask(borrower, answers, 'c')

    play(leader, steps)
    assert [one.services for one in leader.asked] == [['a'], ['c']]


def test_answer_after_the_wait_is_not_used():
    """Guards against the grant of one message taken for that of the next."""
    leader = Leader()

    async def steps(borrower, answers):
        ask(borrower, answers, 'a')
        await asyncio.sleep(0.5)
        ask(borrower, answers, 'b')
        await asyncio.sleep(0.001)
        borrower.accept(GrantExtras(number=1, counts=[1]))
        assert answers == [('a', False)]
        borrower.accept(GrantExtras(number=2, counts=[1]))

    assert play(leader, steps) == [('a', False), ('b', True)]


def test_without_a_leader_the_answer_is_no():
    """Guards against requests that wait for an answer that never comes."""

    async def steps(borrower, answers):
        ask(borrower, answers, 'a', 'b')
        await asyncio.sleep(0.001)
        assert answers == [('a', False), ('b', False)]

    play(Leader(is_known=False), steps)
