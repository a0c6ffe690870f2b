"""Random faults of a real stand-in while many attempts are submitted."""

import contextlib
import random
import threading
import time

import pytest

from shallotgate.invariants import read_breaches
from shallotgate.targets import HttpTargetConnector
from shallotgate.targets.tests.fakes import Rig, wait_until
from testkit.standin import StandinProcess

RUN_S = 6
DEADLINES_MS = (20, 50, 200, 1000)


@contextlib.contextmanager
def behave(standin, **edits):
    former = {'slow_factor': 1, 'nonsense': '', 'shedding': False}
    standin.change(**edits)
    yield
    standin.change(**{name: former[name] for name in edits})


class Faults:
    """One method for each fault; ends with the fault undone."""

    def __init__(self, rig, standin, rng):
        self.rig, self.standin, self.rng = rig, standin, rng
        self.epoch = 1
        # What the stand-in ran by request id, before its restarts as well.
        self.ran = {}

    def collect(self):
        for request, times in self.standin.change()['ran_requests'].items():
            self.ran[request] = max(self.ran.get(request, 0), times)

    def restart(self):
        self.collect()
        self.standin.stop()
        self.standin.start()

    def change(self):
        edits = self.rng.choice(
            [
                {'slow_factor': 20},
                {'nonsense': 'wrong_id'},
                {'nonsense': 'silent'},
                {'nonsense': 'garbage'},
                {'shedding': True},
            ]
        )
        with behave(self.standin, **edits):
            time.sleep(self.rng.uniform(0, 0.2))

    def turn_cold(self):
        self.standin.change(turn_cold_ms=300)

    def lose_lease(self):
        self.rig.lease.left_s = 0
        time.sleep(self.rng.uniform(0, 0.1))
        self.rig.lease.left_s = 4

    def move(self):
        self.rig.own(state='moving', epoch=self.epoch)
        time.sleep(self.rng.uniform(0, 0.1))
        self.epoch += 2
        self.rig.own(epoch=self.epoch)


def submit_until(rig, faults, rng, until, attempts, replies):
    while time.monotonic() < until:
        attempt = rig.make(
            time_left_ms=rng.choice(DEADLINES_MS),
            epoch=faults.epoch,
            screening=rng.random() < 0.3,
        )
        attempts[attempt.attempt_id] = attempt
        rig.owned.submit(attempt, replies.append)
        if rng.random() < 0.1:
            time.sleep(rng.random() / 100)
            rig.owned.cancel(attempt.attempt_id)
        time.sleep(rng.random() / 50)


@pytest.fixture
def faults():
    seed = random.randrange(2**32)
    print(f'seed {seed}')
    standin = StandinProcess('t', ['--service-ms=5', '--versions', '7:4:0,2'])
    standin.start()
    rig = Rig(connector=HttpTargetConnector(), address=standin.address)
    yield Faults(rig, standin, random.Random(seed))
    rig.close()
    standin.stop()


def test_replies_stay_true_under_random_faults(faults):
    """Guards against lost, double and false replies under any faults."""
    rig, rng = faults.rig, faults.rng
    before = read_breaches()
    attempts, replies = {}, []
    until = time.monotonic() + RUN_S
    threads = [
        threading.Thread(
            target=submit_until,
            args=(
                rig,
                faults,
                random.Random(rng.random()),
                until,
                attempts,
                replies,
            ),
        )
        for _ in range(8)
    ]
    for thread in threads:
        thread.start()
    while time.monotonic() < until:
        time.sleep(rng.uniform(0, 0.3))
        rng.choice(
            [
                faults.restart,
                faults.change,
                faults.turn_cold,
                faults.lose_lease,
                faults.move,
            ]
        )()
    for thread in threads:
        thread.join()
    wait_until(lambda: len(replies) >= len(attempts), 'all replies')
    faults.collect()
    assert sorted(reply.attempt_id for reply in replies) == sorted(attempts)
    not_run = {
        attempts[reply.attempt_id].request_id
        for reply in replies
        if reply.status in {'not_run', 'wrong_version'}
    }
    assert not not_run & faults.ran.keys()
    assert set(faults.ran.values()) <= {1}
    assert any(reply.status == 'ok' for reply in replies)
    wait_until(lambda: rig.run(epoch=faults.epoch).status == 'ok', 'the target')
    assert read_breaches() == before
