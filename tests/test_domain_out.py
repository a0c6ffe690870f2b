import time
from collections import Counter

import pytest

from testkit.runner import wait_until
from tests.support import (
    WAIT_TIMEOUT_S,
    check_no_further_attempts,
    make_deployment,
    run_loaded,
    set_target_behavior,
)

TAKEN_OUT_DOMAIN = 'b'
# The entry that owns the targets of the failure domain.
OWNER = 'entry-b'
OTHER = 'entry-a'
# The limit of a cold target does not grow before this many successes.
GROWTH_RUN = 20
SLOW_MS = 100


def list_targets(tier):
    return [
        target.name
        for _, target in tier.deployment.list_targets()
        if target.domain == TAKEN_OUT_DOMAIN
    ]


def set_taken_out(tier, taken_out):
    """Return the monotonic time at which the change was accepted."""
    spec = {'owner': 'platform', 'region': 'r', 'taken_out': taken_out}
    edit = {
        'op': 'put',
        'kind': 'domains',
        'name': TAKEN_OUT_DOMAIN,
        'spec': spec,
    }
    tier.clients.change(OTHER, [edit], 'maintenance')
    return time.monotonic()


def wait_for_leader(tier):
    """Wait until the control group is led by a reachable member."""

    def has_leader():
        status = tier.clients.read(OTHER, '/v1/status')
        return status and status.get('leader') not in {None, '', OWNER}

    wait_until(has_leader, WAIT_TIMEOUT_S, 'another leader')


def wait_warm(tier, names):
    """Wait until the owner gives full slots to the targets."""

    def is_warm():
        page = tier.clients.read(OWNER, '/v1/targets') or {'targets': ()}
        states = {row['target']: row['state'] for row in page['targets']}
        found = [states.get(name) for name in names]
        return all(state and not state['cold'] for state in found)

    wait_until(is_warm, WAIT_TIMEOUT_S, 'warm targets')


def observe_ramp_up(tier, names):
    """Return the most attempts at once of each target while it ramps up."""
    peak = dict.fromkeys(names, 0)

    def is_past_growth():
        counters = {name: set_target_behavior(tier, name) for name in names}
        for name, seen in counters.items():
            if 0 < seen['ran'] <= GROWTH_RUN:
                peak[name] = max(peak[name], seen['most_busy'])
        return all(seen['ran'] > GROWTH_RUN for seen in counters.values())

    wait_until(is_past_growth, WAIT_TIMEOUT_S, 'the returned targets are used')
    return peak


def test_domain_leaves_and_returns_under_load():
    """Guards against attempts in the domain, lost shards and a warm return."""
    with run_loaded(make_deployment()) as (tier, load):
        names = list_targets(tier)
        wait_warm(tier, names)
        started = time.monotonic()
        accepted = set_taken_out(tier, True)
        check_no_further_attempts(
            tier, names, accepted, lambda: load.wait_further(200)
        )
        for name in names:
            set_target_behavior(tier, name, reset=True, service_ms=SLOW_MS)
        set_taken_out(tier, False)
        assert observe_ramp_up(tier, names) == dict.fromkeys(names, 1)
        load.wait_further(200)
        load.stop()
        outcomes = load.count(started)
        assert set(outcomes) == {'complete'}, outcomes


def check_coverage(load, since):
    """Check that all entries but the owner answered completely.

    The owner may refuse or miss shards, but must report it.
    """
    outcomes = Counter()
    for record in load.records:
        if record.started < since:
            continue
        answer = record.answer
        outcome = answer['outcome']
        outcomes[record.entry == OWNER, outcome, answer['reason']] += 1
        if outcome in {'complete', 'partial'}:
            shards = answer['shards']
            missing = shards['asked'] - shards['answered']
            assert len(shards['missing']) == missing
            assert (outcome == 'complete') == (not missing)
            assert answer['matches_full'] == (not missing)
    print(dict(outcomes))
    bad = [key for key in outcomes if not key[0] and key[1] != 'complete']
    assert bad == [], outcomes
    assert sum(outcomes.values()) >= 300


@pytest.mark.parametrize('fault', ['freeze', 'isolate'])
def test_domain_is_out_despite_an_unaware_owner(fault):
    """Guards against dispatch by an owner that missed the change.

    The owner is frozen and woken later, or cut off from the control group.
    """
    with run_loaded(make_deployment(), proxied=True) as (tier, load):
        names = list_targets(tier)
        started = time.monotonic()
        if fault == 'freeze':
            load.entries.remove(OWNER)
            tier.instances[OWNER].freeze()
        else:
            tier.isolate(OWNER)
        wait_for_leader(tier)
        accepted = set_taken_out(tier, True)

        def recover():
            load.entries = [name for name in tier.instances if name != OWNER]
            load.wait_further(100)
            if fault == 'freeze':
                tier.instances[OWNER].resume()
            else:
                links = tier.proxy.list_links()
                tier.proxy.heal(*(link for link in links if link[0] != '>'))
            tier.wait_ready(OWNER)
            load.entries = list(tier.instances)
            load.wait_further(200)

        check_no_further_attempts(tier, names, accepted, recover)
        load.stop()
        check_coverage(load, started)
