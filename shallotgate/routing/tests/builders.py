"""Builders shared by the tests of routing, query and edge."""

import time

from shallotgate.generated.catalogue import Target
from shallotgate.generated.messages import Ownership, TargetState, TargetVersion

SEED = 20261204
DOMAINS = ('x', 'y', 'z')


class Clock:
    """A settable clock in seconds."""

    now = 1000.0

    def __call__(self):
        return self.now


def make_target(name, domain):
    return Target(
        name=name, address='127.0.0.1:1', domain=domain, slots=3, connections=9
    )


def make_ownership(target, instance='e1', state='held'):
    return Ownership(
        target=target, instance=instance, start_id='s', epoch=1, state=state
    )


def make_state(target, **changes):
    fields = {
        'target': target,
        'epoch': 1,
        'limit': 3,
        'in_flight': 0,
        'queued': 0,
        'queue_ms': 0,
        'latency_ms': 5,
        'cold': False,
        'draining': False,
        'lost': False,
        **changes,
    }
    return TargetState(**fields)


def make_version(index_version, partitions, held):
    return TargetVersion(
        index_version=index_version, partitions=partitions, held=held
    )


def wait_until(condition, timeout_s=10):
    give_up_at = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < give_up_at, 'condition not met in time'
        time.sleep(0.002)
