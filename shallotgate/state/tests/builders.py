"""Builders of commands for tests of the state machine."""

import json
import time

from shallotgate.codec import decode_tagged, encode_tagged
from shallotgate.generated.messages import ChangeCatalogue, ClaimOnce
from shallotgate.state import TierState

# 2026-12-04T06:26:22Z
NOW = 1796365582.0
KEY_HASH = 'a' * 64


def make_id(tail: str, at: float = NOW) -> str:
    return time.strftime('%Y%m%dT%H%M%SZ-', time.gmtime(at)) + tail.zfill(8)


def put(kind, name, **spec):
    return {'op': 'put', 'kind': kind, 'name': name, 'spec': spec}


def remove(kind, name):
    return {'op': 'remove', 'kind': kind, 'name': name}


def domain(name, owner='ada'):
    return put('domains', name, owner=owner, region='r')


def target(name, port, in_domain='a'):
    return {
        'name': name,
        'address': f'127.0.0.1:{port}',
        'domain': in_domain,
        'slots': 3,
        'connections': 30,
    }


def make_service(name, *targets):
    return put('services', name, owner='ada', group='g', targets=targets)


def make_change(
    edits,
    base=0,
    tail='1',
    operator='ada',
    administrator=False,
    now=NOW,
    at=None,
):
    change = {
        'change_id': make_id(tail, now if at is None else at),
        'base_version': base,
        'edits': edits,
        'reason': 'test',
    }
    return ChangeCatalogue(
        operator=operator,
        administrator=administrator,
        change=json.dumps(change).encode(),
        time=now,
    )


def make_claim(claim='c1', tail='1', now=NOW, **fields):
    defaults = {'key': make_id(tail), 'caller': 'tellers', 'digest': 'd'}
    return ClaimOnce(claim=claim, time=now, **(defaults | fields))


class Driver:
    """Applies commands in their encoded form, as the log does."""

    def __init__(self) -> None:
        self.state = TierState()
        self.index = 0

    def apply(self, command):
        self.index += 1
        result = self.state.apply(self.index, encode_tagged(command))
        # The proposer receives the result in its encoded form, too.
        return decode_tagged(encode_tagged(result))

    def restart(self):
        """Restore a new state machine from a snapshot of this one."""
        snapshot = self.state.snapshot()
        self.state = TierState()
        self.state.restore(snapshot)
        assert self.state.snapshot() == snapshot
        return self
