"""Authentication of requests at an entry, without network."""

import asyncio
import logging
from dataclasses import replace

from shallotgate.routes import ClientAccount
from testkit.gateway import SimulatedEntry
from testkit.virtual import run_virtual

ALPHA = ClientAccount('alpha', ('key-a', 'key-a2'), priority=4)
BETA = ClientAccount('beta', ('key-b',))


def activate(entry, version, *accounts, is_public=False):
    routes = tuple(
        replace(route, is_public=is_public) for route in entry.table.routes
    )
    entry.gateway.activate_table(
        replace(entry.table, version=version, routes=routes, accounts=accounts),
    )


def confirm(entry):
    loop = asyncio.get_running_loop()
    entry.gateway.authenticator.confirm_table(loop.time())


async def ask(entry, *keys):
    """Return the statuses of a request with each key."""
    answers = [await entry.send_request('r', key=key) for key in keys]
    return [response.status for response, _ in answers]


def count(entry, event, **labels):
    return entry.metrics.get_counter(f'gateway_{event}_total', **labels)


def play(steps, **fields):
    async def run():
        entry = SimulatedEntry(shards=3, **fields)
        return entry, await steps(entry)

    return run_virtual(run())


def test_requests_are_served_by_their_keys():
    async def steps(entry):
        activate(entry, 2, ALPHA, BETA)
        confirm(entry)
        return await ask(entry, b'key-a', b'key-b', b'key-c', b'')

    entry, statuses = play(steps)
    assert statuses == [200, 200, 401, 401]
    received = [len(one.received_ids) for one in entry.list_all_targets()]
    assert sum(received) == 2 * 3
    assert count(entry, 'account_requests', account='alpha') == 1
    assert count(entry, 'account_requests', account='beta') == 1
    for key in ('unmatched', 'absent'):
        labels = {'result': 'unknown', 'key': key}
        assert count(entry, 'unauthenticated', **labels) == 1


def test_public_route_serves_all():
    async def steps(entry):
        activate(entry, 2, ALPHA, is_public=True)
        return await ask(entry, b'key-a', b'key-c', b'')

    entry, statuses = play(steps)
    assert statuses == [200, 200, 200]
    assert count(entry, 'account_requests', account='alpha') == 1
    assert count(entry, 'public_requests') == 2


def test_without_accounts_keys_are_ignored():
    async def steps(entry):
        return await ask(entry, b'key-c', b'')

    assert play(steps)[1] == [200, 200]


def test_unknown_key_is_undecided_once_the_table_is_not_confirmed():
    """Guards against 401 for a key that the partitioned entry can't have."""

    async def steps(entry):
        activate(entry, 2, ALPHA)
        statuses = await ask(entry, b'key-b')
        confirm(entry)
        statuses += await ask(entry, b'key-b')
        await asyncio.sleep(1.9)
        statuses += await ask(entry, b'key-b', b'')
        await asyncio.sleep(0.2)
        statuses += await ask(entry, b'key-b', b'', b'key-a')
        confirm(entry)
        return statuses + await ask(entry, b'key-b')

    entry, statuses = play(steps)
    assert statuses == [503, 401, 401, 401, 503, 503, 200, 401]
    labels = {'result': 'undecided', 'key': 'unmatched'}
    assert count(entry, 'unauthenticated', **labels) == 2


def test_revoked_key_is_refused_from_the_next_request_on():
    """Guards against keys that stay valid, also while the entry is cut off.

    An entry that was cut off before the revocation still accepts the key.
    """

    async def steps(entry):
        activate(entry, 2, ALPHA, BETA)
        confirm(entry)
        running = asyncio.ensure_future(ask(entry, b'key-b'))
        await asyncio.sleep(0)
        activate(entry, 3, ALPHA)
        statuses = await running + await ask(entry, b'key-b', b'key-a2')
        activate(entry, 4, replace(ALPHA, keys=('key-a',)))
        statuses += await ask(entry, b'key-a2')
        await asyncio.sleep(60)
        return statuses + await ask(entry, b'key-a2', b'key-a')

    _, statuses = play(steps)
    assert statuses == [200, 401, 200, 401, 503, 200]


def test_older_confirmation_does_not_replace_a_newer_one():
    async def steps(entry):
        activate(entry, 2, ALPHA)
        confirm(entry)
        entry.gateway.authenticator.confirm_table(float('-inf'))
        return await ask(entry, b'key-b')

    assert play(steps)[1] == [401]


def test_accounts_with_counters_are_limited():
    """Guards against growth with each account that was ever configured."""

    async def steps(entry):
        keys = []
        for version in range(2, 1103):
            account = ClientAccount(f'a{version}', (f'key-{version}',))
            activate(entry, version, account)
            keys.extend(await ask(entry, f'key-{version}'.encode()))
        return keys

    entry, statuses = play(steps)
    assert set(statuses) == {200}
    assert count(entry, 'account_requests_left_out') == 101
    assert count(entry, 'account_requests', account='a1001') == 1


def test_refusals_are_logged_with_their_reason_and_no_key(caplog):
    """Guards against keys in logs, and against logs that one caller fills."""
    caplog.set_level(logging.INFO, 'shallotgate')

    async def steps(entry):
        activate(entry, 2, ALPHA, BETA)
        confirm(entry)
        await ask(entry, b'key-a', *[b'key-c'] * 200)
        for target in entry.list_all_targets():
            target.service_time_s = 10
        await ask(entry, b'key-a')
        await asyncio.sleep(3)
        await ask(entry, b'key-c')
        activate(entry, 3, replace(ALPHA, keys=('key-a', 'key-d')))

    play(steps)
    lines = [one for one in caplog.records if hasattr(one, 'request_id')]
    steps_by_status = {one.status: one.steps[0]['step'] for one in lines}
    assert steps_by_status[401] == 'unauthenticated'
    assert lines[-1].steps[0]['step'] == 'undecided'
    assert len([one for one in lines if one.status == 401]) == 5
    assert any(one.account == 'alpha' for one in lines)
    changed = [one for one in caplog.records if hasattr(one, 'keys_revoked')]
    assert [one.added for one in changed] == [('alpha', 'beta'), ()]
    assert changed[1].removed == ('beta',)
    assert changed[1].keys_added == changed[1].keys_revoked == ('alpha',)
    for record in caplog.records:
        assert 'key-' not in str(record.__dict__)


def test_account_sets_the_priority():
    """Guards against the priority of the route for an account with its own."""
    priorities = []

    async def steps(entry):
        activate(entry, 2, ALPHA, BETA)
        inner = entry.gateway._serve

        async def serve(call, active):
            priorities.append((call.account.name, call.priority))
            assert 'key-' not in repr(call)
            return await inner(call, active)

        entry.gateway._serve = serve
        return await ask(entry, b'key-a', b'key-b')

    assert play(steps, priority=2)[1] == [200, 200]
    assert priorities == [('alpha', 4), ('beta', 2)]
