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
# Small limits, so that snapshots are taken and installed during the run.
OPTIONS = ConsensusOptions(
    snapshot_interval_records=60, trailing_records=10, max_message_bytes=2000
)


class Callers:
    """Threads that append and read while faults are injected."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.stopped = threading.Event()
        # Tuples of command, start time, end time and position in the list.
        self.acknowledged = []
        self.refused = []
        self.in_doubt = []
        self.stale_reads = []
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
            # Includes former leaders that have not stepped down yet.
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
            self.stale_reads.append(
                (node.name, highest, len(node.machine.items))
            )


def restart(cluster, name, rng):
    cluster.stop(name)
    time.sleep(rng.uniform(0, 0.5))
    cluster.start(name)


def wipe_and_replace(cluster, name, rng):
    """Wipe a member of a healthy cluster and replace its identity."""
    cluster.heal()
    wait_for(lambda: is_healthy(cluster), timeout_s=30)
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


def is_healthy(cluster):
    leader = cluster.find_leader()
    if leader is None:
        return False
    members = leader.log.status().members
    return len(members) == 3 and all(each.voter for each in members)


def partition(cluster, name, rng):
    if rng.random() < 0.5:
        cluster.isolate(name)
    else:
        other = rng.choice([each for each in 'abc' if each != name])
        # One-way partition: messages are dropped in one direction only.
        cluster.dropped_links.add((name, other))
    time.sleep(rng.uniform(0.2, 2))
    if rng.random() < 0.7:
        cluster.heal()


@pytest.fixture
def seed():
    """Return the random seed; set SHALLOTGATE_SEED to repeat a run."""
    chosen = os.environ.get('SHALLOTGATE_SEED')
    return int(chosen or random.SystemRandom().randrange(10**6))


def test_appends_stay_linearizable_under_faults(make_cluster, seed):
    """Guards against lost, duplicate or reordered appends and stale reads."""
    print(f'seed {seed}')
    rng = random.Random(seed)
    cluster = make_cluster(options=OPTIONS)
    cluster.start()
    cluster.wait_leader()
    callers = Callers(cluster)
    actions = [
        partition,
        partition,
        partition,
        restart,
        restart,
        wipe_and_replace,
    ]
    deadline = time.monotonic() + RUN_S
    try:
        while time.monotonic() < deadline:
            action = rng.choice(actions)
            name = rng.choice('abc')
            print(f'{action.__name__} {name}')
            action(cluster, name, rng)
    finally:
        callers.stop()
    cluster.heal()
    wait_for(lambda: is_healthy(cluster), timeout_s=30)
    cluster.propose(b'end')
    nodes = list(cluster.nodes.values())
    wait_for(lambda: all(node.machine.items[-1:] == [b'end'] for node in nodes))
    items = nodes[0].machine.items
    assert all(node.machine.items == items for node in nodes)
    assert len(set(items)) == len(items)
    check_history(callers, items)
    assert read_breaches() == {}


def check_history(callers, items):
    positions = {item: position for position, item in enumerate(items, 1)}
    acknowledged = sorted(callers.acknowledged, key=lambda each: each[2])
    print(
        f'{len(acknowledged)} acknowledged, {len(callers.refused)} refused, '
        f'{len(callers.in_doubt)} in doubt, {callers.reads} reads'
    )
    assert len(acknowledged) > 50
    assert callers.reads > 50
    assert callers.stale_reads == []
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
        # Positions follow all commands acknowledged before this one was sent.
        assert position > highest
