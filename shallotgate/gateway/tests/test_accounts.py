"""Authentication of requests at an entry, without network."""

import asyncio
import logging
from dataclasses import replace

from shallotgate.gateway import Gateway
from shallotgate.routes import ClientAccount
from testkit.gateway import SimulatedEntry
from testkit.virtual import run_virtual

ALPHA = ClientAccount('alpha', ('key-a', 'key-a2'), priority=4)
BETA = ClientAccount('beta', ('key-b',))


class Entry(SimulatedEntry):
    """Entry whose tables and confirmations a test sets."""

    def activate(self, version, *accounts, is_public=False):
        route = replace(self.table.routes[0], is_public=is_public)
        self.gateway.activate_table(
            replace(
                self.table, version=version, routes=(route,), accounts=accounts
            ),
        )

    def confirm(self):
        now = asyncio.get_running_loop().time()
        self.gateway.authenticator.confirm_table(now)

    async def ask(self, *keys):
        """Return the status of a request with each key."""
        answers = [await self.send_request('r', key=key) for key in keys]
        return [response.status for response, _ in answers]

    def count(self, event, **labels):
        return self.metrics.get_counter(f'gateway_{event}_total', **labels)


def play(steps, **fields):
    """Return an entry and what is returned by ``steps`` on it."""

    async def run():
        entry = Entry(shards=3, **fields)
        return entry, await steps(entry)

    return run_virtual(run())


def test_requests_are_served_by_their_keys():
    async def steps(entry):
        statuses = await entry.ask(b'key-c', b'')
        entry.activate(2, ALPHA, BETA)
        entry.confirm()
        statuses += await entry.ask(b'key-a', b'key-b', b'key-c', b'')
        entry.activate(3, ALPHA, is_public=True)
        return statuses + await entry.ask(b'key-a', b'key-c', b'')

    entry, statuses = play(steps)
    # Without accounts, with accounts, and on a public route.
    assert statuses == [200, 200, 200, 200, 401, 401, 200, 200, 200]
    received = [len(one.received_ids) for one in entry.list_all_targets()]
    assert sum(received) == 7 * 3
    assert entry.count('account_requests', account='alpha') == 2
    assert entry.count('account_requests', account='beta') == 1
    assert entry.count('public_requests') == 2
    for key in ('unmatched', 'absent'):
        labels = {'result': 'unknown', 'key': key}
        assert entry.count('unauthenticated', **labels) == 1


def test_unknown_key_is_undecided_once_the_table_is_not_confirmed():
    """Guards against 401 for a key that the partitioned entry can't have."""

    async def steps(entry):
        entry.activate(2, ALPHA)
        statuses = await entry.ask(b'key-b')
        entry.confirm()
        await asyncio.sleep(1.9)
        entry.gateway.authenticator.confirm_table(float('-inf'))
        statuses += await entry.ask(b'key-b', b'')
        await asyncio.sleep(0.2)
        statuses += await entry.ask(b'key-b', b'', b'key-a')
        entry.confirm()
        return statuses + await entry.ask(b'key-b')

    entry, statuses = play(steps)
    assert statuses == [503, 401, 401, 503, 503, 200, 401]
    labels = {'result': 'undecided', 'key': 'unmatched'}
    assert entry.count('unauthenticated', **labels) == 2


def test_revoked_key_is_refused_from_the_next_request_on():
    """Guards against keys that stay valid, and for a request under way."""

    async def steps(entry):
        entry.activate(2, ALPHA, BETA)
        entry.confirm()
        running = asyncio.ensure_future(entry.ask(b'key-b'))
        await asyncio.sleep(0)
        entry.activate(3, ALPHA)
        statuses = await running + await entry.ask(b'key-b', b'key-a2')
        entry.activate(4, replace(ALPHA, keys=('key-a',)))
        statuses += await entry.ask(b'key-a2')
        await asyncio.sleep(60)
        return statuses + await entry.ask(b'key-a2', b'key-a')

    assert play(steps)[1] == [200, 401, 200, 401, 503, 200]


def test_accounts_with_counters_are_limited():
    """Guards against growth with each account that was ever configured."""

    async def steps(entry):
        for version in range(2, 1103):
            entry.activate(version, ClientAccount(f'a{version}', ('key',)))
            assert await entry.ask(b'key') == [200]

    entry, _ = play(steps)
    assert entry.count('account_requests_left_out') == 101
    assert entry.count('account_requests', account='a1001') == 1


def test_refusals_are_logged_with_their_reason_and_no_key(caplog):
    """Guards against keys in logs, and against logs that one caller fills."""
    caplog.set_level(logging.INFO, 'shallotgate')

    async def steps(entry):
        entry.activate(2, ALPHA, BETA)
        entry.confirm()
        await entry.ask(b'key-a', *[b'key-c'] * 200)
        for target in entry.list_all_targets():
            target.service_time_s = 10
        await entry.ask(b'key-a')
        await asyncio.sleep(3)
        await entry.ask(b'key-c')
        entry.activate(3, replace(ALPHA, keys=('key-a', 'key-d')))

    play(steps)
    lines = [one for one in caplog.records if hasattr(one, 'request_id')]
    refused = [one for one in lines if one.status == 401]
    assert len(refused) == 5
    assert {one.steps[0]['step'] for one in refused} == {'unauthenticated'}
    assert lines[-1].steps[0]['step'] == 'undecided'
    assert any(one.account == 'alpha' for one in lines)
    changed = [one for one in caplog.records if hasattr(one, 'keys_revoked')]
    assert [one.added for one in changed] == [('alpha', 'beta'), ()]
    assert changed[1].removed == ('beta',)
    assert changed[1].keys_added == changed[1].keys_revoked == ('alpha',)
    assert not any('key-' in str(one.__dict__) for one in caplog.records)


def test_account_sets_the_priority(monkeypatch):
    """Guards against the priority of the route for an account with its own."""
    calls = []
    serve = Gateway._serve

    def record(gateway, call, active):
        calls.append(call)
        return serve(gateway, call, active)

    monkeypatch.setattr(Gateway, '_serve', record)

    async def steps(entry):
        entry.activate(2, ALPHA, BETA)
        return await entry.ask(b'key-a', b'key-b')

    play(steps, priority=2)
    assert [(one.account.name, one.priority) for one in calls] == [
        ('alpha', 4),
        ('beta', 2),
    ]
    assert 'key-' not in repr(calls)
