"""Load pattern: a request content that crashes each target processing it.

It arrives repeatedly at any entry, among harmless requests. No network is used.
"""

import asyncio
import itertools
from functools import partial

from shallotgate.gateway._crashes import RequestContent
from shallotgate.generated.messages import (
    BarContent,
    ContentTrial,
    CrashRecorded,
)
from shallotgate.registry import CrashService
from shallotgate.registry.tests.fakes import FakeLog, FakeStore
from shallotgate.transport import Delivery
from testkit.gateway import SimulatedEntry, SimulatedTier
from testkit.virtual import run_virtual

# Restart time of a crashed target, in seconds.
BACK_S = 3
POISON = b'poison'


def count_crashes(entry):
    return sum(target.crashes for target in entry.list_all_targets())


def prepare(entry):
    for target in entry.list_all_targets():
        target.crashing_request_id = POISON
        target.restart_delay_s = BACK_S


def test_fan_out_does_not_crash_a_second_copy_of_each_shard():
    """Guards against hedges that crash a second replica of each shard."""

    async def play():
        entry = SimulatedEntry(shards=12)
        await entry.send_requests(20, 50)
        prepare(entry)
        response, _ = await entry.send_request(POISON.decode())
        await asyncio.sleep(0.5)
        return response.status, count_crashes(entry), entry.reports

    status, crashes, reports = run_virtual(play())
    assert status == 502
    assert crashes <= 12 + 2
    (report,) = reports
    assert len(report.targets) >= 3


def test_harmless_fan_out_is_served_when_targets_crash_together():
    """Guards against failing a harmless request because of other crashes."""

    async def play():
        entry = SimulatedEntry(shards=12, objective_ms=200)
        await entry.send_requests(20, 50)
        prepare(entry)
        deadly = asyncio.ensure_future(entry.send_request(POISON.decode()))
        others = [entry.send_request(f'q{number}') for number in range(2)]
        answers = await asyncio.gather(*others)
        await deadly
        await asyncio.sleep(0.5)
        return answers, entry.reports

    answers, reports = run_virtual(play())
    assert [one.status for one, _ in answers] == [200, 200]
    assert len(reports) == 1


def test_refused_content_reaches_no_target_and_others_do():
    """Guards against retries of a blocked content that crash more targets."""

    async def play():
        entry = SimulatedEntry(shards=1)
        prepare(entry)
        await entry.send_request(POISON.decode())
        await asyncio.sleep(BACK_S + 1)
        (report,) = entry.reports
        entry.blocklist.add(BarContent(digest=report.digest, hold_ms=10_000))
        before = count_crashes(entry)
        refused, _ = await entry.send_request(POISON.decode())
        served, _ = await entry.send_request('q')
        crashes = count_crashes(entry) - before
        return refused.status, served.status, crashes

    assert run_virtual(play()) == (503, 200, 0)


def test_content_stays_refused_without_the_leaders_permission():
    """Guards against all entries that let a content through at its end."""

    async def play():
        entry = SimulatedEntry(shards=1)
        prepare(entry)
        await entry.send_request(POISON.decode())
        await asyncio.sleep(BACK_S + 1)
        (report,) = entry.reports
        entry.blocklist.add(BarContent(digest=report.digest, hold_ms=1000))
        await asyncio.sleep(2)
        before = count_crashes(entry)
        response, _ = await entry.send_request(POISON.decode())
        return response.status, count_crashes(entry) - before

    assert run_virtual(play()) == (503, 0)


class Leader:
    """Crash service that entries reach without network."""

    def __init__(self, entries):
        self.entries = dict(enumerate(entries))
        self.handlers = {}
        log = FakeLog()
        log.leads = True
        self.service = CrashService(
            self, log, lambda: list(self.entries), FakeStore()
        )
        for name, entry in self.entries.items():
            entry.tell_leader = partial(self.deliver, name)

    def subscribe(self, message_type, handler):
        self.handlers[message_type] = handler

    def deliver(self, name, message):
        delivery = Delivery(name, 'start', 'call', 0, message)
        self.handlers[type(message)](delivery)

    def send(self, name, message):
        blocklist = self.entries[name].blocklist
        if isinstance(message, BarContent):
            blocklist.add(message)
        elif isinstance(message, CrashRecorded):
            blocklist.confirm_report(message)
        else:
            blocklist.handle_answer(message)


def test_content_that_comes_for_an_hour_reaches_targets_three_times():
    """Guards against retries that crash targets after each refusal.

    The content comes every 8 s at one entry after the other, and its caller
    repeats it once at the next one.
    """

    async def play():
        tier = SimulatedTier(3, shards=1)
        Leader(tier.entries)
        prepare(tier.entries[0])
        crashes = []
        for turn in range(450):
            for attempt in range(2):
                before = count_crashes(tier.entries[0])
                entry = tier.entries[(turn + attempt) % 3]
                await entry.send_request(POISON.decode())
                new = count_crashes(tier.entries[0]) - before
                crashes.extend([(turn * 8, new)] * bool(new))
            await asyncio.sleep(8)
        return crashes

    crashes = run_virtual(play())
    totals = itertools.accumulate(new for _, new in crashes)
    third_at = next(
        at for (at, _), total in zip(crashes, totals, strict=True) if total >= 3
    )
    # Retries that reached targets later than 4 s after the third crash.
    retries = [new for at, new in crashes if at > third_at + 4]
    assert len(retries) == 3
    # Each trial was sent to one target only.
    assert set(retries) == {1}


def test_content_that_a_target_answers_is_accepted_again():
    """Guards against refusing a content for good that is harmless."""

    async def play():
        tier = SimulatedTier(3, shards=1)
        Leader(tier.entries)
        first, second, third = tier.entries
        prepare(first)
        for entry in tier.entries:
            await entry.send_request(POISON.decode())
            await asyncio.sleep(BACK_S + 1)
        for target in first.list_all_targets():
            target.crashing_request_id = None
        refused, _ = await second.send_request(POISON.decode())
        await asyncio.sleep(16)
        trial = asyncio.ensure_future(third.send_request(POISON.decode()))
        await asyncio.sleep(0)
        beside, _ = await second.send_request(POISON.decode())
        served, _ = await trial
        await asyncio.sleep(0.1)
        after, _ = await first.send_request(POISON.decode())
        return [one.status for one in (refused, beside, served, after)]

    assert run_virtual(play()) == [503, 503, 200, 200]


def test_lost_answers_of_sound_targets_are_no_crashes():
    """Guards against blocking contents because replies get lost."""

    async def play():
        entry = SimulatedEntry(shards=1)
        for target in entry.list_all_targets():
            target.drops_connection = True
        for number in range(5):
            await entry.send_request(f'q{number}')
        await asyncio.sleep(1)
        return entry.reports

    assert run_virtual(play()) == []


def test_lent_attempt_of_a_suspected_request_waits_without_spinning():
    """Guards against a busy loop that blocks all requests of the entry."""

    async def play():
        tier = SimulatedTier(1, shards=12, slack=3)
        (entry,) = tier.entries
        prepare(entry)
        for targets in entry.targets.values():
            # The local budget is spent on a retry, which is lost.
            targets[0].is_not_run = True
        deadly = asyncio.ensure_future(entry.send_request(POISON.decode()))
        turns = 0
        while not deadly.done():
            await asyncio.sleep(0.001)
            turns += 1
        return turns, count_crashes(entry)

    turns, crashes = run_virtual(play())
    assert turns > 5
    assert crashes <= 12 + 2


def test_report_is_sent_until_a_leader_has_stored_it():
    """Guards against crashes that no leader knows of after an election."""

    async def play():
        entry = SimulatedEntry(shards=1)
        prepare(entry)
        entry.tell_leader = lambda message: None
        await entry.send_request(POISON.decode())
        await asyncio.sleep(3)
        unconfirmed = {each.report for each in entry.reports}
        sent = len(entry.reports)
        for report in unconfirmed:
            entry.blocklist.confirm_report(CrashRecorded(report=report))
        await asyncio.sleep(3)
        return len(unconfirmed), sent, len(entry.reports) - sent

    reports, sent, later = run_virtual(play())
    assert (reports, later) == (1, 0)
    assert sent >= 5


def test_trial_that_is_granted_late_is_used_once():
    """Guards against a trial that counts and that nobody may use."""

    async def play():
        entry = SimulatedEntry(shards=1)
        digest = RequestContent(b'GET', '', b'/x', b'').compute_digest()
        entry.blocklist.add(BarContent(digest=digest, hold_ms=1))
        await asyncio.sleep(1)
        content = RequestContent(b'GET', '', b'/x', b'')
        before = await entry.blocklist.admit(content)
        entry.blocklist.handle_answer(
            ContentTrial(digest=digest, granted=True, hold_ms=9000, trials=1)
        )
        return [before, *[await entry.blocklist.admit(content) for _ in '12']]

    before, used, after = run_virtual(play())
    assert (before.is_trial, used.is_trial, after.is_trial) == (
        False,
        True,
        False,
    )
