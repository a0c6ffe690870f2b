"""In-memory replicated log, and a small tier that uses it."""

import socket
import threading
import time

from shallotgate.control import ControlService
from shallotgate.errors import CommitUnknownError, NotLeaderError
from shallotgate.generated.settings import Member, Settings
from shallotgate.membership import ControlClient, Session, TierView
from shallotgate.metrics import Metrics
from shallotgate.state import TierState
from shallotgate.timers import TimerService
from shallotgate.transport import Mailbox


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


def wait_until(condition, timeout_s=20.0):
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, 'condition not met in time'
        time.sleep(0.01)


class FakeGroup:
    """Commits immediately on all members; the test elects the leader."""

    def __init__(self) -> None:
        self.lock = threading.RLock()
        self.logs = {}
        self.leader = None
        self.index = 0
        # Number of proposals whose reply is lost after the commit.
        self.lost_replies = 0

    def join(self, name, state):
        self.logs[name] = FakeLog(self, name, state)
        return self.logs[name]

    def elect(self, name):
        with self.lock:
            former, self.leader = self.leader, name
        for member, is_leading in ((former, False), (name, True)):
            for callback in self.logs[member].callbacks if member else ():
                callback(is_leading)


class FakeLog:
    """``ReplicatedLog`` of one member."""

    def __init__(self, group, name, state) -> None:
        self.group = group
        self.name = name
        self.state = state
        self.callbacks = []

    @property
    def leader(self):
        return self.group.leader

    def is_leading(self):
        return self.group.leader == self.name

    def on_leadership(self, callback):
        self.callbacks.append(callback)

    def propose(self, command, timeout_s):
        with self.group.lock:
            if not self.is_leading():
                raise NotLeaderError(self.leader)
            self.group.index += 1
            results = {
                name: log.state.apply(self.group.index, command)
                for name, log in self.group.logs.items()
            }
            if self.group.lost_replies:
                self.group.lost_replies -= 1
                raise CommitUnknownError('lost by the test')
            return results[self.name]

    def read_barrier(self, timeout_s):
        return self.group.index

    def status(self):
        return {'members': sorted(self.group.logs)}

    def replace_member(self, instance, timeout_s):
        self.replaced = instance


class Node:
    """One instance with one or both roles."""

    def __init__(self, tier, name, domain, roles, address=None) -> None:
        self.name = name
        self.start_id = f'{name}-{time.monotonic_ns()}'
        self.address = address or tier.addresses.get(name) or free_address()
        settings = Settings(
            instance=name,
            domain=domain,
            roles=roles,
            peer_address=self.address,
            operator_address='127.0.0.1:0',
            control_members=[
                Member(instance=member, address=tier.addresses[member])
                for member in tier.members
            ],
            max_attempt_ms=tier.max_attempt_ms,
        )
        self.metrics = Metrics()
        self.mailbox = Mailbox(name, self.start_id, self.address)
        self.timers = TimerService()
        self.view = TierView()
        parts = (self.mailbox, self.timers, settings, self.start_id)
        self.session = Session(*parts, self.view, self.metrics)
        self.client = ControlClient(self.session.link)
        self.control = None
        if 'control' in roles:
            self.state = TierState()
            self.log = tier.group.join(name, self.state)
            parts = (self.mailbox, self.timers, self.log, self.state)
            self.control = ControlService(*parts, settings, self.metrics)
            self.control.start()
        self.timers.start()
        self.mailbox.start()
        self.session.start()

    def stop(self):
        self.session.stop()
        if self.control is not None:
            self.control.stop()
        self.mailbox.stop()
        self.timers.stop()

    @property
    def lease_s(self):
        return self.session.lease.remaining_s()


class Tier:
    """Control members and entries that run in this process."""

    def __init__(self, members=('m1', 'm2', 'm3'), max_attempt_ms=300):
        self.members = members
        self.max_attempt_ms = max_attempt_ms
        self.addresses = {name: free_address() for name in members}
        self.group = FakeGroup()
        self.nodes = {}
        for name in members:
            self.add(name, 'a', ['control'])

    def add(self, name, domain='a', roles=('entry',), ready=False, **options):
        node = Node(self, name, domain, roles, **options)
        if ready:
            node.session.set_readiness('ready')
        self.nodes[name] = node
        return node

    @property
    def state(self):
        return self.group.logs[self.members[0]].state.read()

    def stop(self):
        for node in self.nodes.values():
            node.stop()
