"""Tiers of the control group's tests, and changes of their catalogue."""

from typing import Any

from shallotgate.cli import HttpReply, make_dated_id
from testkit.deployments import make_small_clearing
from testkit.runner import Tier, wait_until
from tests.support._asking import NO_REPLY, wait_answered
from tests.support._limits import LIMIT_S
from tests.support._load import make_query


def make_tier(seed: int, **settings: Any) -> Tier:
    """Return four entries, three of them control members, behind proxies."""
    return Tier(
        make_small_clearing(entries=4, tracedesk=2, stopline=1),
        proxied=True,
        settings={'abort_on_breach': True, 'seed': seed} | settings,
    )


def list_members(tier: Tier) -> list[str]:
    """Return the names of the control members."""
    return [plan.name for plan in tier.deployment.instances if plan.control]


def find_leader(tier: Tier, *names: str) -> str:
    """Wait until the named instances agree on a leader and return it."""
    names = names or tuple(tier.list_running())

    def is_agreed():
        pages = [tier.clients.read(name, '/v1/status') for name in names]
        found.clear()
        found.update(page['leader'] if page else None for page in pages)
        return len(found) == 1 and None not in found

    found = set()
    wait_until(is_agreed, LIMIT_S, 'a leader')
    return found.pop()


def recover(tier: Tier) -> None:
    """Undo the faults of a test and wait until the tier is whole."""
    tier.proxy.heal()
    for process in tier.instances.values():
        if process.is_running():
            process.resume()
        else:
            process.start()
    tier.wait_ready(*tier.instances)
    find_leader(tier)
    versions = [tier.clients.read_version(name) for name in tier.instances]
    tier.clients.wait_for_version(max(versions), tier.instances, LIMIT_S)


def make_change(base: int, name: str) -> dict[str, Any]:
    """Return a change that adds one failure domain."""
    spec = {'owner': 'admin', 'region': 'spare'}
    edit = {'op': 'put', 'kind': 'domains', 'name': name, 'spec': spec}
    return {
        'change_id': make_dated_id(),
        'base_version': base,
        'edits': [edit],
        'reason': 'test',
    }


def send_change(
    tier: Tier,
    instance: str,
    change: dict[str, Any],
) -> HttpReply:
    """Send a change until it has a verdict and return the reply."""
    replies = []

    def has_verdict():
        try:
            reply = tier.clients.operator(instance).call(
                'POST',
                '/v1/catalogue',
                change,
            )
        except NO_REPLY:
            return False
        replies.append(reply)
        return reply.status not in {503, 504}

    wait_until(has_verdict, LIMIT_S, 'a verdict')
    return replies[-1]


def add_domain(tier: Tier, instance: str, name: str) -> int:
    """Add a failure domain and return the accepted version."""
    base = tier.clients.read_version(instance)
    reply = send_change(tier, instance, make_change(base, name))
    assert reply.status == 200, reply
    return reply.content['version']


def is_serving(tier: Tier, instance: str) -> bool:
    """Return whether the caller address of an instance is ready."""
    try:
        reply = tier.clients.caller(instance, 'tellers').call('GET', '/readyz')
    except NO_REPLY:
        return False
    return reply.status == 200


def wait_complete(tier: Tier) -> None:
    """Wait until each entry is ready for callers and answers in full."""
    # One entry after the other: when all were asked for readiness before any
    # was queried, none was ready for 0.3 s after the last complete answer.
    for name in tier.list_running():
        wait_until(
            lambda name=name: is_serving(tier, name),
            LIMIT_S,
            f'{name} ready for callers',
        )
        wait_answered(tier, [name], make_query(0))
