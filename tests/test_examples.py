import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest

from shallotgate.cli import main
from shallotgate.codec import encode_json, encode_tagged
from shallotgate.generated.catalogue import Change, Edit
from shallotgate.generated.messages import ChangeCatalogue
from shallotgate.settings import (
    load_operator_keys,
    load_settings,
    read_document,
)
from shallotgate.state import TierState

ROOT = Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / 'examples'
NOT_SETTINGS = {'catalogue.yaml', 'deployment.yaml', 'operators.yaml'}
# Group: services, targets, slots, connections, milliseconds to connect.
SIZES = {
    'clearing': {
        'tracedesk': (10, 30, 3, 30, 6),
        'stopline': (15, 45, 3, 30, 6),
        'auditvault': (1, 5, 6, 110, 1),
        'reconbook': (1, 3, 6, 110, 1),
    },
    'packhouse': {
        'trace-desk': (10, 30, 2, 25, 6),
        'grower-ledger': (15, 45, 2, 25, 6),
        'print-station': (1, 4, 6, 50, 1),
        'dispatch-board': (1, 4, 6, 50, 1),
    },
}
DOMAINS = {
    'clearing': ['bc-lower-a', 'bc-lower-b', 'bc-lower-c'],
    'packhouse': ['kalimati', 'bhaktapur', 'lalitpur', 'kirtipur'],
}
LATENCIES_MS = {'clearing': (1.5, 3), 'packhouse': (0.5, 1)}
each_example = pytest.mark.parametrize('name', SIZES)


def read_edits(name: str, kind: str) -> dict:
    content = read_document(EXAMPLES / name / 'catalogue.yaml').content
    return {
        edit['name']: edit['spec']
        for edit in content['edits']
        if edit['kind'] == kind
    }


@each_example
def test_settings_of_every_instance_are_valid(name):
    """Guards against examples that the daemon refuses."""
    instances = []
    for path in sorted((EXAMPLES / name).glob('*.yaml')):
        if path.name not in NOT_SETTINGS:
            assert main(['settings', 'check', str(path)]) == 0
            instances.append(load_settings(path))
    assert len(instances) == 7
    assert all('entry' in instance.roles for instance in instances)
    control = [
        instance for instance in instances if 'control' in instance.roles
    ]
    assert len({instance.domain for instance in control}) == len(control) == 3
    assert {instance.domain for instance in instances} == set(DOMAINS[name])
    addresses = Counter()
    for instance in instances:
        addresses.update(
            (
                instance.peer_address,
                instance.caller_address,
                instance.operator_address,
            )
        )
    assert max(addresses.values()) == 1
    assert load_operator_keys(EXAMPLES / name / 'operators.yaml')


@each_example
def test_sizes_are_those_of_the_design_page(name):
    """Guards against examples that are smaller than what they stand for."""
    found = {}
    for service in read_edits(name, 'services').values():
        (slots, connections, connect_ms) = {
            (target['slots'], target['connections'], target['connect_ms'])
            for target in service['targets']
        }.pop()
        count, targets, *_ = found.get(service['group'], (0, 0))
        found[service['group']] = (
            count + 1,
            targets + len(service['targets']),
            slots,
            connections,
            connect_ms,
        )
        places = [target['domain'] for target in service['targets']]
        assert len(set(places)) == min(len(places), len(DOMAINS[name]))
    assert found == SIZES[name]
    described = read_document(EXAMPLES / name / 'deployment.yaml').content
    assert described['failure_domains'] == DOMAINS[name]
    latencies = tuple(described['one_way_latency_ms'].values())
    assert latencies == LATENCIES_MS[name]


@each_example
def test_catalogue_is_accepted(name):
    """Guards against edits that the control group refuses."""
    content = read_document(EXAMPLES / name / 'catalogue.yaml').content
    change = Change(
        change_id='20261204T062622Z-abcdefgh',
        base_version=0,
        edits=[Edit(**edit) for edit in content['edits']],
        reason=content['reason'],
    )
    command = ChangeCatalogue(
        operator='admin',
        administrator=True,
        change=encode_json(change),
        time=1796365582.0,
    )
    assert apply_to_empty_state(command).outcome == 'accepted', (
        apply_to_empty_state(command)
    )


def apply_to_empty_state(command):
    """Return the verdict of an empty state on a change."""
    return TierState().apply(1, encode_tagged(command))


@each_example
def test_classes_have_the_modes_that_their_users_need(name):
    """Guards against labels that are printed twice or half a recall."""
    classes = read_edits(name, 'classes')
    once = {kind for kind, spec in classes.items() if spec.get('once_only')}
    modes = {kind: spec['mode'] for kind, spec in classes.items()}
    if name == 'clearing':
        assert set(modes.values()) == {'coverage'}
        assert once == {'stop-payment'}
    else:
        assert modes['floor-scan'] == 'latency'
        assert modes['recall-sweep'] == 'coverage'
        assert once == {'print-label'}


def test_examples_are_those_of_the_generator():
    """Guards against examples that were edited by hand and drift apart."""
    command = [sys.executable, 'tools/make_examples.py', '--check']
    subprocess.run(command, cwd=ROOT, check=True, env={'PYTHONPATH': '.'})
