"""Entries, targets and a leader in virtual time, without a network."""

import heapq
import random

from shallotgate.generated.messages import (
    GrantExposure,
    ListedTarget,
    RecordVersions,
    StartRollout,
)
from shallotgate.rollouts import (
    ASK_INTERVAL_S,
    ExposureTracker,
    ReplySums,
    RolloutBoard,
    RolloutRecords,
    apply_command,
    make_rules,
)

REVIEW_INTERVAL_S = 0.1


def list_targets(version, count=3, slots=4):
    return [
        ListedTarget(
            target=f'{version}-{number}',
            service='s',
            address='a:1',
            domain='d',
            slots=slots,
            version=version,
        )
        for number in range(count)
    ]


class Entry:
    def __init__(self, number, start=0):
        self.tracker = ExposureTracker(f'{number}-{start}')
        self.is_frozen = False
        self.is_cut = False


class Simulation:
    """One service, whose requests are spread evenly over all entries.

    ``judge`` returns whether a reply is good, a failure or slow, given the
    version, route, target and time since the order.
    """

    def __init__(
        self,
        judge,
        entries=58,
        per_s=58.0,
        duration_s=30.0,
        routes=('r',),
        seed=1,
        candidates=3,
        repeats=False,
    ):
        self.generator = random.Random(seed)
        self.judge = judge
        self.per_s = per_s
        self.routes = routes
        self.repeats = repeats
        self.entries = [Entry(number) for number in range(entries)]
        self.targets = [
            *list_targets('v1'),
            *(list_targets('v2', candidates) if candidates else []),
        ]
        self.records = RolloutRecords()
        self.index = 0
        self.board = RolloutBoard()
        # Another member, which leads after ``change_leader``.
        self.follower = RolloutBoard()
        self.has_leader = True
        self.now = 1000.0
        self.events = []
        self.sent = {'v1': 0, 'v2': 0}
        self.bad = 0
        # Time since the order at which the candidate had its 50th bad reply,
        # and of the last request that it got.
        self.fiftieth_at = None
        self.last_exposed_at = None
        self.ended_at = None
        self.shares = []
        self.apply(RecordVersions(services=['s'], versions=['v1']))
        self.board.follow(self.records, self.now)
        self.started_at = self.now
        self.duration_s = duration_s
        self.apply(
            StartRollout(
                service='s', target_version='v2', duration_s=duration_s
            )
        )
        for each in self.entries:
            delay_s = self.generator.uniform(0, ASK_INTERVAL_S)
            self.push(delay_s, self.ask, each)
        self.push(0, self.review)
        self.push(0, self.arrive)

    @property
    def elapsed_s(self):
        return self.now - self.started_at

    @property
    def state(self):
        return self.records.find('s').state

    def push(self, delay_s, action, *arguments):
        heapq.heappush(
            self.events,
            (self.now + delay_s, self.generator.random(), action, arguments),
        )

    def run(self, until_s):
        while self.events[0][0] < self.started_at + until_s:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now = self.started_at + until_s
        return self

    def run_to_end(self):
        return self.run(self.duration_s)

    def apply(self, command):
        self.index += 1
        self.records, _ = apply_command(self.records, self.index, command)
        for board in (self.board, self.follower):
            board.record(self.records, self.now)
        if self.state_or_none() not in {None, 'running'} and not self.ended_at:
            self.ended_at = self.elapsed_s

    def state_or_none(self):
        rollout = self.records.find('s')
        return rollout.state if rollout else None

    def change_leader(self, pause_s=1.5, *, loses_all=False):
        """Lose the leader; another one follows after a pause."""
        self.has_leader = False
        if loses_all:
            self.entries = [
                Entry(number, self.index) for number in range(len(self.entries))
            ]
            self.events = [
                event for event in self.events if event[2] != self.ask
            ]
            heapq.heapify(self.events)
            for each in self.entries:
                self.push(pause_s + 0.2, self.ask, each)
        self.push(pause_s, self.lead, loses_all)

    def lead(self, loses_all):
        self.board, self.follower = self.follower, self.board
        if loses_all:
            self.board = RolloutBoard()
            self.board.record(self.records, self.now)
        self.board.reset()
        self.board.follow(self.records, self.now)
        self.has_leader = True

    def review(self):
        self.push(REVIEW_INTERVAL_S, self.review)
        if not self.has_leader:
            return
        self.board.follow(self.records, self.now)
        for command in self.board.review(self.targets, self.now):
            self.apply(command)
        self.shares.extend(
            run.granter.share for run in self.board.list_running()
        )

    def ask(self, entry):
        self.push(ASK_INTERVAL_S, self.ask, entry)
        if entry.is_frozen:
            return
        if self.has_leader and not entry.is_cut:
            rules = make_rules(self.records, self.targets)
            entry.tracker.apply_rules({rule.service: rule for rule in rules})
        ask = entry.tracker.make_ask(self.now)
        if ask is None or not self.has_leader or entry.is_cut:
            return
        counts = self.board.grant(ask.source, ask.rollouts, self.now)
        orders = [each.order for each in ask.rollouts]
        grant = GrantExposure(number=ask.number, orders=orders, counts=counts)
        self.push(0.005, entry.tracker.handle_grant, grant)

    def arrive(self):
        self.push(self.generator.expovariate(self.per_s), self.arrive)
        entry = self.generator.choice(self.entries)
        if not entry.is_frozen:
            self.send(entry, self.generator.choice(self.routes), self.repeats)

    def send(self, entry, route, repeats):
        tracker = entry.tracker
        tracker.record_request('s')
        is_exposed = tracker.spend('s', self.now)
        if self.state == 'completed' and not entry.is_cut:
            is_exposed = True
        version = 'v2' if is_exposed else 'v1'
        self.sent[version] += 1
        listed = [each for each in self.targets if each.version == version]
        target = self.generator.choice(listed).target
        kind = self.judge(version, route, target, self.elapsed_s)
        sums = ReplySums(1, int(kind == 'failed'), int(kind == 'slow'))
        if is_exposed and self.state != 'completed':
            self.last_exposed_at = self.elapsed_s
            self.bad += sums.bad
            if self.bad >= 50 and self.fiftieth_at is None:
                self.fiftieth_at = self.elapsed_s
        self.push(
            0.05, tracker.record_reply, 's', version, (route, target), sums
        )
        if repeats and kind == 'failed':
            self.push(0.02, self.send, entry, route, False)

    def check_bad(self):
        """Check what is promised for a bad version."""
        self.run_to_end()
        assert self.state == 'rolled_back'
        total = sum(self.sent.values())
        assert self.sent['v2'] <= 0.1 * total + 50
        if self.fiftieth_at is not None:
            assert self.last_exposed_at < self.fiftieth_at + 5

    def check_good(self):
        self.run_to_end()
        assert self.state == 'completed'
        assert self.ended_at < self.duration_s
