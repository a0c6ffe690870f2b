import os
import random
import threading
import time

import pytest

from shallotgate.consensus import ConsensusOptions
from shallotgate.consensus.tests.cluster import wait_for
from shallotgate.errors import (
    CommitUnknownError,
    ConsensusError,
    NotLeaderError,
)
from shallotgate.invariants import read_breaches

RUN_S = 12
# Small, so that snapshots are taken and installed during the run.
OPTIONS = ConsensusOptions(
    snapshot_interval_records=60, trailing_records=10, max_message_bytes=2000
)


class Callers:
    """Threads that append and read while faults happen."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.stopped = threading.Event()
        # Command, time sent, time answered, position in the list.
        self.acknowledged = []
        self.refused = []
        self.in_doubt = []
        self.faults = []
        self.highest = 0
        self.reads = 0
        targets = [self.append] * 4 + [self.read] * 2
        self.threads = [
            threading.Thread(target=self.run, args=(target, number))
            for number, target in enumerate(targets)
        ]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def run(self, target, number):
        count = 0
        while not self.stopped.is_set():
            # Any member that thinks it leads, also an outdated one.
            for node in tuple(self.cluster.nodes.values()):
                if node.log.status().role == 'leader':
                    count += 1
                    target(node, b'%d-%d' % (number, count))
            self.stopped.wait(0.002)

    def append(self, node, command):
        started = time.monotonic()
        try:
            position = node.log.propose(command, 1)
        except NotLeaderError:
            self.refused.append(command)
        except CommitUnknownError:
            self.in_doubt.append(command)
        else:
            answered = time.monotonic()
            self.acknowledged.append((command, started, answered, position))
            self.highest = max(self.highest, position)

    def read(self, node, command):
        highest = self.highest
        try:
            node.log.read_barrier(0.5)
        except ConsensusError:
            return
        self.reads += 1
        if len(node.machine.items) < highest:
            self.faults.append((node.name, highest, len(node.machine.items)))


def restart(cluster, name, chooser):
    cluster.stop(name)
    time.sleep(chooser.uniform(0, 0.5))
    cluster.start(name)


def wipe_and_replace(cluster, name, chooser):
    """Lose a disk while all are well, then admit the new identity."""
    cluster.heal()
    wait_for(lambda: is_settled(cluster), timeout_s=30)
    cluster.stop(name)
    cluster.wipe(name)
    cluster.start(name)

    def is_replaced():
        leader = cluster.find_leader()
        if leader is None or leader.name == name:
            return False
        try:
            leader.log.replace_member(name, 5)
        except ConsensusError:
            return False
        return True

    wait_for(is_replaced, timeout_s=30)


def is_settled(cluster):
    leader = cluster.find_leader()
    if leader is None:
        return False
    members = leader.log.status().members
    return len(members) == 3 and all(each.voter for each in members)


def cut(cluster, name, chooser):
    if chooser.random() < 0.5:
        cluster.cut_off(name)
    else:
        other = chooser.choice([each for each in 'abc' if each != name])
        # One way only: requests arrive and answers do not.
        cluster.cuts.add((name, other))
    time.sleep(chooser.uniform(0.2, 2))
    if chooser.random() < 0.7:
        cluster.heal()


@pytest.fixture
def seed():
    """Seed of the run; set SHALLOTGATE_SEED to repeat one."""
    chosen = os.environ.get('SHALLOTGATE_SEED')
    return int(chosen or random.SystemRandom().randrange(10**6))


def test_appends_stay_linearizable_under_faults(make_cluster, seed):
    """Guards against lost, doubled, reordered appends and stale reads."""
    print(f'seed {seed}')
    chooser = random.Random(seed)
    cluster = make_cluster(options=OPTIONS)
    cluster.start()
    cluster.wait_leader()
    callers = Callers(cluster)
    actions = [cut, cut, cut, restart, restart, wipe_and_replace]
    deadline = time.monotonic() + RUN_S
    try:
        while time.monotonic() < deadline:
            action = chooser.choice(actions)
            name = chooser.choice('abc')
            print(f'{action.__name__} {name}')
            action(cluster, name, chooser)
    finally:
        callers.stop()
    cluster.heal()
    wait_for(lambda: is_settled(cluster), timeout_s=30)
    cluster.propose(b'end')
    nodes = list(cluster.nodes.values())
    wait_for(lambda: all(node.machine.items[-1:] == [b'end'] for node in nodes))
    items = nodes[0].machine.items
    assert all(node.machine.items == items for node in nodes)
    assert len(set(items)) == len(items)
    check_history(callers, items)
    assert read_breaches() == {}


def check_history(callers, items):
    positions = {item: place for place, item in enumerate(items, 1)}
    acknowledged = sorted(callers.acknowledged, key=lambda each: each[2])
    print(
        f'{len(acknowledged)} acknowledged, {len(callers.refused)} refused, '
        f'{len(callers.in_doubt)} in doubt, {callers.reads} reads'
    )
    assert len(acknowledged) > 50
    assert callers.reads > 50
    assert callers.faults == []
    for command, _, _, position in acknowledged:
        assert positions.get(command) == position
    assert not set(callers.refused) & set(items)
    by_start = sorted(acknowledged, key=lambda each: each[1])
    finished = iter([*acknowledged, (b'', 0, float('inf'), 0)])
    latest, highest = next(finished), 0
    for _, started, _, position in by_start:
        while latest[2] < started:
            highest = max(highest, latest[3])
            latest = next(finished)
        # Behind all that was acknowledged before it was sent.
        assert position > highest
