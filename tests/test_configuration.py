import re
import socket
import threading
import time
from collections import Counter

import pytest

from shallotgate.codec import encode_json
from testkit.proxy import Fault
from testkit.runner import OPERATOR_TOKENS, wait_until
from tests.support import (
    PROPAGATION_BOUND_S,
    WAIT_TIMEOUT_S,
    ConfigurationPoller,
    add_domain,
    ask,
    choose_seed,
    find_leader,
    is_serving,
    list_members,
    make_change,
    make_query,
    make_tier,
    recover,
    send_change,
    wait_complete,
)

CHANGES = 300
# Longer than the lease of 4 s and than the bound of G10.
LEASE_EXPIRY_WAIT_S = PROPAGATION_BOUND_S + 1
# Enough for heartbeats; the update of the test takes several seconds.
SLOW_BYTES_PER_S = 4000
SLOW_S = 3
RACERS = 8


@pytest.fixture(scope='module')
def module_tier():
    with make_tier(choose_seed()) as tier:
        tier.start()
        yield tier


@pytest.fixture
def tier(module_tier):
    recover(module_tier)
    yield module_tier
    recover(module_tier)
    assert module_tier.list_breaches() == []


def choose_name(generator):
    return f'spare-{generator.randrange(10**9)}'


def check_applied(tier, poller, version, accepted_at, names):
    """Check that running instances have a version within the bound."""
    tier.clients.wait_for_version(version, names, WAIT_TIMEOUT_S)
    elapsed_s = time.monotonic() - accepted_at
    print(f'version {version} in force after {elapsed_s:.2f} s')
    assert elapsed_s < PROPAGATION_BOUND_S
    assert poller.list_violations(version, accepted_at) == []


def count_recorded(tier, instance):
    """Return how often each change id is in the history."""
    history = tier.clients.read(instance, '/v1/history')
    return Counter(record['change_id'] for record in history)


def test_change_survives_the_kill_of_the_leader(tier, generator):
    """Guards against changes that are lost or late with their leader."""
    leader = find_leader(tier)
    others = [name for name in tier.instances if name != leader]
    with ConfigurationPoller(tier) as poller:
        version = add_domain(tier, others[0], choose_name(generator))
        accepted_at = time.monotonic()
        tier.instances[leader].kill()
        check_applied(tier, poller, version, accepted_at, others)
        # Once more, under the next leader.
        version = add_domain(tier, others[1], choose_name(generator))
        accepted_at = time.monotonic()
        check_applied(tier, poller, version, accepted_at, others)
        tier.restart(leader)
        assert tier.clients.read_version(leader) >= version
    assert poller.list_violations(version, accepted_at) == []


@pytest.mark.parametrize('role', ['leader', 'follower'])
def test_member_that_is_cut_off_does_not_serve(tier, generator, role):
    """Guards against a isolated-off member that serves an old configuration."""
    leader = find_leader(tier)
    followers = [name for name in list_members(tier) if name != leader]
    isolated = leader if role == 'leader' else generator.choice(followers)
    others = [name for name in tier.instances if name != isolated]
    old = tier.clients.read_version(isolated)
    with ConfigurationPoller(tier) as poller:
        tier.isolate(isolated)
        version = add_domain(tier, others[0], choose_name(generator))
        accepted_at = time.monotonic()
        check_applied(tier, poller, version, accepted_at, others)
        wait_until(
            lambda: time.monotonic() > accepted_at + LEASE_EXPIRY_WAIT_S,
            WAIT_TIMEOUT_S,
            'the end of the lease and of the bound',
        )
        assert tier.clients.read_version(isolated) == old
        assert not is_serving(tier, isolated)
        tier.proxy.heal()
        tier.wait_ready(*tier.instances)
        assert tier.clients.read_version(isolated) >= version
    assert any(sample.instance == isolated for sample in poller.samples)
    assert poller.list_violations(version, accepted_at) == []


def test_woken_entry_does_not_serve_the_old_configuration(tier, generator):
    """Guards against a frozen entry that wakes with a revoked caller."""
    frozen = generator.choice(list(tier.instances))
    others = [name for name in tier.instances if name != frozen]
    wait_complete(tier)
    catalogue = tier.clients.read(others[0], '/v1/catalogue')
    spec = catalogue['callers']['tellers']
    revoked = spec | {'key_sha256': '0' * 64}
    answers = []
    with ConfigurationPoller(tier) as poller:
        tier.instances[frozen].freeze()
        # The leader itself may be frozen: the change waits for the next one.
        change = make_change(catalogue['version'], choose_name(generator))
        change['edits'] = [make_caller_edit(revoked)]
        reply = send_change(tier, others[0], change)
        assert reply.status == 200, reply
        accepted_at = time.monotonic()
        version = reply.content['version']
        check_applied(tier, poller, version, accepted_at, others)
        # These requests wait in the sockets of the frozen process.
        senders = [
            threading.Thread(
                target=lambda item=item: answers.append(
                    ask(tier, frozen, make_query(item))
                ),
            )
            for item in range(20)
        ]
        for sender in senders:
            sender.start()
        wait_until(
            lambda: time.monotonic() > accepted_at + LEASE_EXPIRY_WAIT_S,
            WAIT_TIMEOUT_S,
            'the end of the lease and of the bound',
        )
        tier.instances[frozen].resume()
        for sender in senders:
            sender.join(WAIT_TIMEOUT_S)
        tier.wait_ready(*tier.instances)
        assert tier.clients.read_version(frozen) >= version
    base = tier.clients.read_version(frozen)
    change = make_change(base, choose_name(generator))
    change['edits'] = [make_caller_edit(spec)]
    assert send_change(tier, frozen, change).status == 200
    assert len(answers) == 20
    assert {answer['outcome'] for answer in answers} == {'refused'}
    assert poller.list_violations(version, accepted_at) == []


def test_lease_waits_for_the_version_that_it_names(tier, generator):
    """Guards against a lease that is valid before a slow update arrives."""
    other, *_, entry = tier.instances
    wait_complete(tier)
    base = tier.clients.read_version(other)
    change = make_change(base, choose_name(generator))
    (edit,) = change['edits']
    change['edits'] = [
        edit | {'name': f'{edit["name"]}-{turn}'} for turn in range(CHANGES)
    ]
    with ConfigurationPoller(tier) as poller:
        tier.isolate(entry)
        reply = send_change(tier, other, change)
        assert reply.status == 200, reply
        accepted_at = time.monotonic()
        version = reply.content['version']
        wait_until(
            lambda: time.monotonic() > accepted_at + LEASE_EXPIRY_WAIT_S,
            WAIT_TIMEOUT_S,
            'the end of the lease and of the bound',
        )
        links = [f'{name}>{entry}' for name in tier.instances if name != entry]
        for link in links:
            tier.proxy.set_fault(link, Fault(bytes_per_s=SLOW_BYTES_PER_S))
        tier.proxy.heal(
            *(f'{entry}>{link[: link.index(">")]}' for link in links)
        )
        healed_at = time.monotonic()
        # Replies to heartbeats arrive, the large update does not yet.
        early = []
        while time.monotonic() < healed_at + SLOW_S:
            lease_s = read_lease_s(tier, entry)
            if lease_s > 0 and tier.clients.read_version(entry) < version:
                early.append(lease_s)
        tier.proxy.heal()
        tier.wait_ready(entry)
        tier.clients.wait_for_version(version, [entry], WAIT_TIMEOUT_S)
    assert early == []
    assert poller.list_violations(version, accepted_at) == []


def read_lease_s(tier, instance):
    """Return the seconds that are left of the lease of an instance."""
    text = tier.clients.read(instance, '/metrics')
    found = re.search(r'^\w*lease_remaining_s (\S+)$', text, re.MULTILINE)
    return float(found.group(1))


def make_caller_edit(spec):
    return {'op': 'put', 'kind': 'callers', 'name': 'tellers', 'spec': spec}


def read_accepted_version(tier, generator):
    """Return the newest accepted version, by an answer to a change.

    The version in force on an instance may be behind it.
    """
    leader = find_leader(tier)
    known = tier.clients.read_version(leader)
    change = make_change(known, choose_name(generator))
    return send_change(tier, leader, change).content['version']


def test_one_of_racing_operators_wins(tier, generator):
    """Guards against two changes that both replace the same version."""
    base = read_accepted_version(tier, generator)
    entries = list(tier.instances)
    names = [f'{choose_name(generator)}-{turn}' for turn in range(RACERS)]
    barrier = threading.Barrier(RACERS)
    replies = {}

    def race(turn):
        change = make_change(base, names[turn])
        barrier.wait()
        entry = entries[turn % len(entries)]
        replies[names[turn]] = send_change(tier, entry, change)

    racers = [threading.Thread(target=race, args=(i,)) for i in range(RACERS)]
    for racer in racers:
        racer.start()
    for racer in racers:
        racer.join(WAIT_TIMEOUT_S)
    winners = [name for name, reply in replies.items() if reply.status == 200]
    assert len(replies) == RACERS
    assert len(winners) == 1
    for name, reply in replies.items():
        assert reply.content['version'] == base + 1
        if name not in winners:
            assert reply.status == 409
            assert reply.content['outcome'] == 'conflict'
            assert [edit['name'] for edit in reply.content['differences']] == (
                winners
            )
    tier.clients.wait_for_version(base + 1, tier.instances, PROPAGATION_BOUND_S)
    domains = tier.clients.read(entries[0], '/v1/domains')
    assert set(names) & set(domains) == set(winners)


def send_without_reading(tier, instance, change):
    """Send a change and close the connection without reading the answer."""
    body = encode_json(change)
    address = tier.layout.addresses[instance].operator
    host, _, port = address.rpartition(':')
    head = (
        'POST /v1/catalogue HTTP/1.1\r\n'
        f'Host: {address}\r\n'
        f'Authorization: Bearer {OPERATOR_TOKENS["admin"]}\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    with socket.create_connection(
        (host, int(port)), WAIT_TIMEOUT_S
    ) as connection:
        connection.sendall(head.encode() + body)


def kill_all(tier):
    for process in tier.instances.values():
        process.kill()


def test_resent_change_gets_its_first_verdict(tier, generator):
    """Guards against a change that is applied twice when it is resent."""
    leader = find_leader(tier)
    others = [name for name in tier.instances if name != leader]
    base = tier.clients.read_version(others[0])
    change = make_change(base, choose_name(generator))
    send_without_reading(tier, others[0], change)
    tier.clients.wait_for_version(base + 1, others, WAIT_TIMEOUT_S)
    verdicts = [send_change(tier, others[1], change).content]
    tier.instances[leader].kill()
    verdicts.append(send_change(tier, others[1], change).content)
    kill_all(tier)
    recover(tier)
    verdicts.extend(
        send_change(tier, name, change).content for name in tier.instances
    )
    assert verdicts[0]['outcome'] == 'accepted'
    assert verdicts[0]['version'] == base + 1
    assert verdicts == verdicts[:1] * len(verdicts)
    assert count_recorded(tier, leader)[change['change_id']] == 1
    assert {tier.clients.read_version(name) for name in tier.instances} == {
        base + 1
    }


def test_all_changes_are_there_after_a_restart_of_all(tier, generator):
    """Guards against changes that a restart of all processes loses."""
    entry = find_leader(tier)
    base = tier.clients.read_version(entry)
    prefix = choose_name(generator)
    names = [f'{prefix}-{turn}' for turn in range(CHANGES)]
    for turn, name in enumerate(names):
        reply = send_change(tier, entry, make_change(base + turn, name))
        assert reply.status == 200, reply
    kill_all(tier)
    # From now on every ready instance must have all of them.
    due_at = time.monotonic() - PROPAGATION_BOUND_S
    with ConfigurationPoller(tier) as poller:
        recover(tier)
        version = base + CHANGES
        found = [
            tier.clients.read(name, '/v1/catalogue') for name in tier.instances
        ]
        assert {page['version'] for page in found} == {version}
        for catalogue in found:
            assert set(names) <= set(catalogue['domains'])
    assert poller.list_violations(version, due_at) == []


def test_new_entry_starts_with_the_present_version(tier, generator):
    """Guards against an entry that serves before it has the configuration."""
    other, *_, entry = tier.instances
    tier.instances[entry].kill()
    version = add_domain(tier, other, choose_name(generator))
    with ConfigurationPoller(tier) as poller:
        tier.restart(entry)
        assert tier.clients.read_version(entry) >= version
    early = [
        sample
        for sample in poller.samples
        if sample.instance == entry
        and sample.ready
        and sample.version < version
    ]
    assert early == []
