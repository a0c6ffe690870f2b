"""A scripted target and an owner wired to it."""

import itertools
import queue
import threading
import time
from types import MappingProxyType

from shallotgate.errors import (
    NoLeaderError,
    TargetConnectError,
    TargetLostError,
    TargetTimeoutError,
)
from shallotgate.generated.catalogue import Catalogue, Domain, Service, Target
from shallotgate.generated.messages import (
    Attempt,
    Judgement,
    Ownership,
    TargetVersion,
    Versions,
)
from shallotgate.generated.settings import Policy
from shallotgate.membership import TierView, View, list_places
from shallotgate.metrics import Metrics
from shallotgate.targets import OwnedTargets, TargetReply, TargetReport
from shallotgate.timers import TimerService

WAIT_S = 20
OWNER = ('entry-1', 'start-1')


def wait_until(condition, what='the condition'):
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, f'waited in vain for {what}'
        time.sleep(0.002)


class FakeTarget:
    """Edge and target in one; ``script`` decides on each attempt."""

    def __init__(self):
        self.start_id = 'target-start-1'
        self.draining = False
        self.report_lie = {}
        self.versions = (
            TargetVersion(index_version=7, partitions=4, held=(0, 2)),
        )
        self.is_down = False
        self.hold = threading.Event()
        self.hold.set()
        self.script = lambda attempt: 'ok'
        self.lock = threading.Lock()
        self.running = {}
        self.most = 0
        self.started = []
        self.connections = []
        self.opening = 0
        self.most_opening = 0
        self.reports_read = 0
        self._born = time.monotonic()

    def restart(self):
        self.start_id += 'x'
        self._born = time.monotonic()

    def crash(self):
        """Go down and break all connections."""
        self.is_down = True
        for connection in tuple(self.connections):
            connection.broken.set()

    def report(self, **lie):
        fields = {
            'start_id': self.start_id,
            'uptime_ms': (time.monotonic() - self._born) * 1000,
            'draining': self.draining,
            'busy': len(self.running),
            'versions': self.versions,
        }
        return TargetReport(**{**fields, **lie})

    def connect(self, target, timeout_s):
        with self.lock:
            self.opening += 1
            self.most_opening = max(self.most_opening, self.opening)
        time.sleep(0.001)
        with self.lock:
            self.opening -= 1
            if self.is_down:
                raise TargetConnectError('refused')
            connection = FakeConnection(self)
            self.connections.append(connection)
            return connection


class FakeConnection:
    def __init__(self, target):
        self.target = target
        self.broken = threading.Event()
        self.report = target.report(**target.report_lie)

    def read_report(self, timeout_s):
        if self.target.is_down or self.broken.is_set():
            raise TargetLostError('down')
        self.target.reports_read += 1
        return self.target.report(**self.target.report_lie)

    def run(self, attempt, timeout_s):
        target = self.target
        if self.broken.is_set():
            raise TargetConnectError('closed')
        with target.lock:
            target.running[attempt.attempt_id] = attempt
            target.most = max(target.most, len(target.running))
            target.started.append(attempt.attempt_id)
        try:
            status = target.script(attempt)
            deadline = time.monotonic() + timeout_s
            while not target.hold.is_set():
                if self.broken.wait(0.001):
                    raise TargetLostError('broken')
                if time.monotonic() > deadline:
                    raise TargetTimeoutError('held')
        finally:
            with target.lock:
                target.running.pop(attempt.attempt_id)
        if self.broken.is_set():
            raise TargetLostError('broken')
        return TargetReply(
            attempt_id=attempt.attempt_id,
            status=status,
            index_version=attempt.index_version,
            partition=attempt.partition,
            matches=b'[]',
            truncated=False,
            covered=True,
            report=target.report(),
        )

    def close(self):
        self.broken.set()
        if self in self.target.connections:
            self.target.connections.remove(self)


class FakeLease:
    def __init__(self):
        self.left_s = 4
        # Calls after which it expires.
        self.calls = float('inf')

    def remaining_s(self):
        self.calls -= 1
        if self.calls < 0:
            self.left_s = 0
        return self.left_s


class FakeCommands:
    """Collects commands; fails the first ``failures`` of them."""

    def __init__(self):
        self.failures = 0
        self.taken = queue.SimpleQueue()

    def propose(self, command, timeout_s):
        if self.failures:
            self.failures -= 1
            raise NoLeaderError('no leader')
        self.taken.put(command)
        return None


class Rig:
    """An owner of target ``t`` with two or more slots."""

    def __init__(self, connector=None, address='127.0.0.1:1', **options):
        slots = options.pop('slots', 3)
        learnt = options.pop('learnt', None)
        entries = options.pop('entries', 1)
        self.connector = connector or FakeTarget()
        self.target = Target(
            name='t', address=address, domain='d', slots=slots, connections=30
        )
        self.lease = FakeLease()
        self.commands = FakeCommands()
        self.timers = TimerService()
        self.timers.start()
        self.view = TierView()
        self.releases = queue.SimpleQueue()
        self.numbers = itertools.count()
        self.quarantine = {}
        self.versions = itertools.count(1)
        self.own(learnt=learnt)
        self.owned = OwnedTargets(
            self.view,
            self.lease,
            self.connector,
            self.commands,
            self.timers,
            Metrics(),
            Policy(**options),
            *OWNER,
            on_release=self.releases.put,
            entries=entries,
        )
        self.owned.start()

    def close(self):
        if isinstance(self.connector, FakeTarget):
            self.connector.hold.set()
        self.owned.stop()
        self.timers.stop()

    def own(
        self,
        state='held',
        epoch=1,
        learnt=None,
        taken_out=False,
        instance=OWNER[0],
    ):
        """Put a view into force."""
        catalogue = Catalogue(
            version=1,
            services={
                's': Service(owner='o', group='g', targets=[self.target])
            },
            domains={'d': Domain(owner='o', region='r', taken_out=taken_out)},
        )
        ownership = Ownership(
            target='t',
            instance=instance,
            start_id=OWNER[1],
            epoch=epoch,
            state=state,
            learnt=learnt,
        )
        version = next(self.versions)
        self.view.replace(
            View(
                catalogue=catalogue,
                ownership=MappingProxyType({'t': ownership}),
                quarantine=MappingProxyType(dict(self.quarantine)),
                instances=MappingProxyType({}),
                versions=Versions(
                    catalogue=version, ownership=version, quarantine=version
                ),
                places=list_places(catalogue),
            )
        )

    def judge(self, digest, status, holder=''):
        self.quarantine[digest] = Judgement(
            digest=digest, status=status, targets=['t'], since=0, holder=holder
        )
        self.own()

    def make(self, **fields):
        number = next(self.numbers)
        defaults = {
            'attempt_id': f'a{number}',
            'request_id': f'r{number}',
            'target': 't',
            'epoch': 1,
            'group': 'g',
            'service': 's',
            'partition': 2,
            'index_version': 7,
            'class_name': 'c',
            'digest': f'digest-{number}',
            'body': b'{"n":%d}' % number,
            'limit': 100,
            'time_left_ms': 10_000,
        }
        return Attempt(**{**defaults, **fields})

    def submit(self, **fields):
        """Submit and return the attempt and the queue of its replies."""
        attempt = self.make(**fields)
        replies = queue.SimpleQueue()
        self.owned.submit(attempt, replies.put)
        return attempt, replies

    def run(self, **fields):
        return self.submit(**fields)[1].get(timeout=WAIT_S)

    def state(self):
        return self.owned.states()[0]

    def warm_up(self):
        """Feed it until it has its full limit."""

        def feed():
            replies = [self.submit()[1] for _ in range(4)]
            for reply in replies:
                reply.get(timeout=WAIT_S)
            return not self.state().cold

        wait_until(feed, 'a warm target')


def hold_one(rig, **fields):
    """Return an attempt that is running on a target that does not answer."""
    rig.connector.hold.clear()
    attempt, replies = rig.submit(**fields)
    wait_until(
        lambda: attempt.attempt_id in rig.connector.running, 'the dispatch'
    )
    return attempt, replies
