"""Tiers and catalogue changes for the tests of the control group."""

from typing import Any

from shallotgate.cli import HttpReply, make_timestamped_id
from testkit.deployments import make_small_clearing
from testkit.runner import Tier, WaitTimeoutError, wait_until
from tests.support._load import make_query
from tests.support._queries import NO_REPLY, wait_answered
from tests.support._timeouts import WAIT_TIMEOUT_S


def make_tier(seed: int, **settings: Any) -> Tier:
    """Return a tier of four entries, three of them control members."""
    return Tier(
        make_small_clearing(entries=4, tracedesk=2, stopline=1),
        proxied=True,
        settings={'abort_on_breach': True, 'seed': seed} | settings,
    )


def list_members(tier: Tier) -> list[str]:
    """Return the names of the control members."""
    return [plan.name for plan in tier.deployment.instances if plan.control]


def find_leader(tier: Tier, *names: str) -> str:
    """Wait until the named instances report the same leader; return it."""
    names = names or tuple(tier.list_running())

    def has_common_leader():
        for name in names:
            page = tier.clients.read(name, '/v1/status')
            found[name] = page['leader'] if page else None
        return len(set(found.values())) == 1 and None not in found.values()

    found = {}
    try:
        wait_until(has_common_leader, WAIT_TIMEOUT_S, 'a leader')
    except WaitTimeoutError as error:
        # Tells elections from processes that ended or answer nothing.
        raise AssertionError(
            f'{error}; reported leaders {found}; {_describe_members(tier)}'
        ) from error
    return found[names[0]]


def _describe_members(tier: Tier) -> str:
    """Return the exits and the last lines on consensus of all instances."""
    lines = []
    for name, process in tier.instances.items():
        state = 'runs' if process.is_running() else 'ended'
        records = [
            f'{record["time"]} {record["message"]}'
            for record in process.list_log_records()
            if record['message'].startswith(('consensus', 'transport'))
        ]
        lines.append(f'{name} {state}, exits {process.exits}: {records[-5:]}')
    return '; '.join(lines)


def recover(tier: Tier) -> None:
    """Remove injected faults and wait until all instances are ready."""
    tier.proxy.heal()
    for process in tier.instances.values():
        if process.is_running():
            process.resume()
        else:
            process.start()
    tier.wait_ready(*tier.instances)
    find_leader(tier)
    versions = [tier.clients.read_version(name) for name in tier.instances]
    tier.clients.wait_for_version(max(versions), tier.instances, WAIT_TIMEOUT_S)


def make_change(base: int, name: str) -> dict[str, Any]:
    """Return a change that adds one failure domain."""
    spec = {'owner': 'admin', 'region': 'spare'}
    edit = {'op': 'put', 'kind': 'domains', 'name': name, 'spec': spec}
    return {
        'change_id': make_timestamped_id(),
        'base_version': base,
        'edits': [edit],
        'reason': 'test',
    }


def send_change(
    tier: Tier,
    instance: str,
    change: dict[str, Any],
) -> HttpReply:
    """Resend a change until it is decided and return the reply."""
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

    wait_until(has_verdict, WAIT_TIMEOUT_S, 'a verdict')
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
    """Wait until each entry is ready for callers and answers completely."""
    # Entries are checked one at a time: if readiness of all is checked before
    # any query, all can be unready again for 0.3 s after the last answer.
    for name in tier.list_running():
        wait_until(
            lambda name=name: is_serving(tier, name),
            WAIT_TIMEOUT_S,
            f'{name} ready for callers',
        )
        wait_answered(tier, [name], make_query(0))
