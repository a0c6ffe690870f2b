import json
import time

import pytest

from shallotgate.control.tests.fakes import Tier, wait_until
from shallotgate.generated.messages import ChangeCatalogue


@pytest.fixture
def tier():
    tier = Tier()
    yield tier
    tier.stop()


def change_id(tail='00000001'):
    return time.strftime('%Y%m%dT%H%M%SZ-', time.gmtime()) + tail


def make_change(base=0, targets=2, tail='00000001', domain=None):
    edits = [
        {
            'op': 'put',
            'kind': 'domains',
            'name': 'a',
            'spec': {'owner': 'ada', 'region': 'r', **(domain or {})},
        }
    ]
    specs = [
        {
            'name': f't{number}',
            'address': f'127.0.0.1:{number + 1}',
            'domain': 'a',
            'slots': 3,
            'connections': 30,
        }
        for number in range(targets)
    ]
    if targets:
        edits.append(
            {
                'op': 'put',
                'kind': 'services',
                'name': 's',
                'spec': {'owner': 'ada', 'group': 'g', 'targets': specs},
            }
        )
    change = {
        'change_id': change_id(tail),
        'base_version': base,
        'edits': edits,
        'reason': 'test',
    }
    return ChangeCatalogue(
        operator='ada',
        administrator=True,
        change=json.dumps(change).encode(),
        time=0,
    )


def test_thin_path(tier):
    """Guards against a tier that never gets from start to owned targets."""
    tier.group.elect('m1')
    entry = tier.add('e1', ready=True)
    assert entry.session.wait_until_ready(5)
    verdict = entry.client.propose(make_change(), 5)
    assert verdict.outcome == 'accepted'
    wait_until(lambda: len(entry.view.current().ownership) == 2)
    view = entry.view.current()
    assert {owned.instance for owned in view.ownership.values()} == {'e1'}
    assert set(view.places) == {'t0', 't1'}
    assert set(view.instances) == {'e1', 'm1', 'm2', 'm3'}
    assert 3 < entry.lease_s <= 4
