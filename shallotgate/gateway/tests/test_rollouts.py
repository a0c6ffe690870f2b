"""Use of candidates by one entry, with simulated targets and no network."""

import asyncio

from shallotgate.generated.messages import (
    GrantExposure,
    ListedTarget,
    ListingUpdate,
    ServiceVersions,
    VersionsUpdate,
)
from testkit.gateway import SimulatedEntry, SimulatedTarget
from testkit.gateway._targets import SimulatedPool
from testkit.virtual import run_virtual

ORDER = 5


class RolloutEntry(SimulatedEntry):
    """Entry with one service that lists targets of two versions."""

    def __init__(self, old=3, new=3, **options):
        self.old = [SimulatedTarget(f'old-{each}') for each in range(old)]
        self.new = [SimulatedTarget(f'new-{each}') for each in range(new)]
        targets = {'s0': [*self.old, *self.new]}
        super().__init__(1, targets=targets, **options)
        self.tracker = self.directory.versions.tracker

    def list_targets(self, revision=1):
        listed = [
            ListedTarget(
                target=target.name,
                service='s0',
                address=target.name,
                domain='a',
                version='v2' if target in self.new else 'v1',
            )
            for target in self.targets['s0']
        ]
        self.directory.update(
            ListingUpdate(
                source='x', revision=revision, full=True, targets=listed
            )
        )
        self.restore_pools()
        return listed

    def restore_pools(self):
        by_name = {target.name: target for target in self.targets['s0']}
        for name, known in self.directory._targets.items():
            known.pool = SimulatedPool(by_name[name])

    def tell(self, in_force='v1', other='v2', order=ORDER):
        rule = ServiceVersions(
            service='s0', in_force=in_force, other=other, order=order
        )
        update = VersionsUpdate(revision=order + 1, services=[rule])
        self.directory.apply_versions(update)

    def grant(self, count):
        loop = asyncio.get_running_loop()
        number = self.tracker.make_ask(loop.time()).number
        self.tracker.handle_grant(
            GrantExposure(number=number, orders=[ORDER], counts=[count])
        )

    def observe(self):
        loop = asyncio.get_running_loop()
        return self.tracker.make_ask(loop.time()).rollouts[0]

    def count_new(self):
        return sum(len(target.received_ids) for target in self.new)

    def count_old(self):
        return sum(len(target.received_ids) for target in self.old)


def play(scenario, **options):
    async def main():
        entry = RolloutEntry(**options)
        await scenario(entry)
        return entry

    return run_virtual(main())


async def send(entry, count=10):
    answers = await entry.send_requests(count, 50)
    assert [answer.status for answer, _ in answers] == [200] * count


def test_all_versions_are_used_without_a_rule():
    """Guards against changes for deployments without rollouts."""

    async def scenario(entry):
        requests = (entry.send_request(f'q{each}') for each in range(12))
        await asyncio.gather(*requests)

    entry = play(scenario)
    assert entry.count_new() > 0
    assert entry.count_old() > 0


def test_candidate_is_not_used_without_a_permit():
    async def scenario(entry):
        entry.tell()
        await send(entry)

    assert play(scenario).count_new() == 0


def test_targets_of_a_version_that_nobody_ordered_are_not_used():
    async def scenario(entry):
        entry.tell(other='', order=0)
        await send(entry)

    assert play(scenario).count_new() == 0


def test_each_permit_is_used_for_one_request():
    async def scenario(entry):
        entry.tell()
        entry.grant(3)
        await send(entry)
        observed = entry.observe()
        assert (observed.requests, observed.exposed, observed.held) == (
            10,
            3,
            0,
        )

    assert play(scenario).count_new() == 3


def test_concurrent_requests_do_not_share_a_permit():
    """Guards against choosing a candidate before the permit is used up."""

    async def scenario(entry):
        entry.tell()
        entry.grant(2)
        await asyncio.gather(
            *(entry.send_request(f'q{each}') for each in range(9))
        )

    assert play(scenario).count_new() == 2


def test_permit_expires():
    """Guards against an entry that was frozen while it held permits."""

    async def scenario(entry):
        entry.tell()
        entry.grant(5)
        await asyncio.sleep(1.1)
        await send(entry)

    assert play(scenario).count_new() == 0


def test_answer_to_an_older_question_grants_nothing():
    """Guards against permits that were on their way during a freeze."""

    async def scenario(entry):
        entry.tell()
        loop = asyncio.get_running_loop()
        late = entry.tracker.make_ask(loop.time()).number
        entry.grant(0)
        entry.tracker.handle_grant(
            GrantExposure(number=late, orders=[ORDER], counts=[5])
        )
        await send(entry)

    assert play(scenario).count_new() == 0


def test_request_that_a_candidate_fails_is_answered_by_the_old_version():
    """Guards against callers that lose what a bad version fails."""

    async def scenario(entry):
        entry.tell()
        for target in entry.new:
            target.drops_connection = True
        entry.grant(1)
        await send(entry, 1)

    entry = play(scenario)
    assert (entry.count_new(), entry.count_old()) == (1, 1)


def test_second_attempts_count_as_requests_and_need_permits_too():
    """Guards against exposure beside the permits."""

    async def scenario(entry):
        entry.tell()
        for target in (*entry.old, *entry.new):
            target.drops_connection = True
        entry.grant(1)
        await entry.send_request('q')
        observed = entry.observe()
        assert (observed.requests, observed.exposed) == (2, 1)

    play(scenario)


def test_candidates_that_do_not_accept_connections_delay_nobody():
    async def scenario(entry):
        entry.tell()
        for target in entry.new:
            target.is_up = False
        entry.grant(5)
        await send(entry)

    assert play(scenario).count_old() == 10


def test_replies_are_counted_by_candidate_and_for_the_version_in_force():
    async def scenario(entry):
        entry.tell()
        await send(entry, 20)
        for target in entry.new:
            target.service_time_s = 0.08
        entry.grant(3)
        await send(entry, 10)
        await asyncio.sleep(0.5)
        observed = entry.observe()
        replies = dict(zip(observed.targets, observed.replies, strict=True))
        slow = dict(zip(observed.targets, observed.slow, strict=True))
        assert replies.pop('') >= 27
        assert slow.pop('') == 0
        assert sum(replies.values()) == sum(slow.values()) == 3
        assert set(observed.routes) == {'r'}

    play(scenario)


def test_completed_version_serves_without_permits():
    """Guards against refusals after the platform stopped the old targets."""

    async def scenario(entry):
        entry.tell(in_force='v2', other='', order=0)
        for target in entry.old:
            target.is_up = False
        await send(entry)

    assert play(scenario).count_new() == 10


def test_counts_start_anew_with_another_order():
    """Guards against judging a version by the replies of another one."""

    async def scenario(entry):
        entry.tell()
        await send(entry, 5)
        entry.tell(order=ORDER + 1)
        assert entry.observe().requests == 0

    play(scenario)
