import threading
import time

import pytest

from testkit.runner import wait_until
from tests.support import (
    NO_REPLY,
    WAIT_TIMEOUT_S,
    add_domain,
    find_leader,
    is_serving,
    list_members,
    make_change,
    make_tier,
    replace,
    send_change,
    wait_complete,
    wipe,
)

CHANGES = 20
# Several elections fit into this time.
ELECTION_WAIT_S = 8


@pytest.fixture
def tier(generator):
    with make_tier(generator.randrange(10**6)) as tier:
        tier.start()
        wait_complete(tier)
        yield tier
        assert tier.list_breaches() == []


def add_domains(tier, generator):
    """Add failure domains and return their names."""
    prefix = f'spare-{generator.randrange(10**9)}'
    names = [f'{prefix}-{turn}' for turn in range(CHANGES)]
    leader = find_leader(tier)
    base = tier.clients.read_version(leader)
    for turn, name in enumerate(names):
        reply = send_change(tier, leader, make_change(base + turn, name))
        assert reply.status == 200, reply
    version = base + len(names)
    tier.clients.wait_for_version(version, tier.instances, WAIT_TIMEOUT_S)
    return names


def test_second_member_is_lost_right_after_a_repair(tier, generator):
    """Guards against a repaired member that votes without the data."""
    names = add_domains(tier, generator)
    members = list_members(tier)
    wiped, second, last = generator.sample(members, len(members))
    wipe(tier, wiped)
    replace(tier, wiped, last)
    tier.instances[second].kill()
    started_at = time.monotonic()
    running = tier.list_running()
    leader = find_leader(tier)
    print(f'{wiped} wiped, {second} killed, {leader} leads')
    names.append(f'after-{generator.randrange(10**9)}')
    version = add_domain(tier, last, names[-1])
    print(f'changed {time.monotonic() - started_at:.2f} s after the kill')
    tier.clients.wait_for_version(version, running, WAIT_TIMEOUT_S)
    for name in running:
        domains = tier.clients.read(name, '/v1/domains')
        assert set(names) <= set(domains)
    history = tier.clients.read(last, '/v1/history')
    assert len({entry['change_id'] for entry in history}) == len(history)
    assert len(history) == version
    # The repaired member alone keeps it all, too.
    tier.instances[second].start()
    tier.wait_ready(second)
    tier.instances[last].kill()
    find_leader(tier)
    assert set(names) <= set(tier.clients.read(wiped, '/v1/domains'))
    add_domain(tier, wiped, f'last-{generator.randrange(10**9)}')


def count_elections(tier, *names):
    """Return how often the named members began to lead."""
    return sum(
        record['message'] == 'consensus: Leading.'
        for name in names
        for record in tier.instances[name].list_log_records()
    )


def try_change(tier, instance, change, statuses):
    """Send a change once and note the status of its answer."""
    try:
        reply = tier.clients.operator(instance).call(
            'POST',
            '/v1/catalogue',
            change,
        )
    except NO_REPLY as error:
        statuses.append(type(error).__name__)
    else:
        statuses.append(reply.status)


def test_wiped_member_that_was_not_replaced_never_votes(tier, generator):
    """Guards against a majority of which one member has forgotten."""
    names = add_domains(tier, generator)
    # The first member may found a group, so it could do the most harm.
    wiped, *others = list_members(tier)
    second, last = generator.sample(others, len(others))
    change = make_change(tier.clients.read_version(last), 'late')
    tier.instances[wiped].kill()
    tier.instances[second].kill()
    wait_until(
        lambda: not is_serving(tier, last),
        WAIT_TIMEOUT_S,
        f'{last} without a lease',
    )
    # The comparison of counts is meaningful only if elections are logged.
    assert count_elections(tier, *tier.instances) > 0
    elections = count_elections(tier, wiped, last)
    tier.wipe(wiped)
    tier.instances[wiped].start()
    wait_until(
        lambda: tier.clients.read(wiped, '/healthz'),
        WAIT_TIMEOUT_S,
        f'{wiped} started',
    )
    started_at = time.monotonic()
    statuses = []
    senders = [
        threading.Thread(target=try_change, args=(tier, name, change, statuses))
        for name in (wiped, last)
    ]
    for sender in senders:
        sender.start()
    wait_until(
        lambda: time.monotonic() > started_at + ELECTION_WAIT_S,
        WAIT_TIMEOUT_S,
        'the time of several elections',
    )
    for sender in senders:
        sender.join(WAIT_TIMEOUT_S)
    print(f'{wiped} wiped, {second} down: {statuses}')
    assert len(statuses) == len(senders)
    assert set(statuses) <= {503, 504}
    assert count_elections(tier, wiped, last) == elections
    for name in tier.list_running():
        assert not is_serving(tier, name)
    tier.instances[second].start()
    tier.wait_ready(second, last)
    # A resend has one verdict, whatever became of the change so far.
    assert send_change(tier, last, change).status == 200
    assert set(names) <= set(tier.clients.read(second, '/v1/domains'))
