"""Seeded load on all entries."""

import random
import threading
import time
from collections.abc import Callable, Mapping
from typing import Any

from shallotgate.cli import (
    ServerUnreachableError,
    UnknownOutcomeError,
    make_timestamped_id,
)
from testkit.runner import Tier
from testkit.soak._records import Exchange, Journal, SentChange

_QUERY_WORKERS = 5
_ONCE_WORKERS = 2
_CHANGE_WORKERS = 2
_MAX_PAUSE_S = 0.1
_MAX_CHANGE_PAUSE_S = 2
_DEADLINE_MS = 1500
_ITEMS = 300
_MAX_SENDS = 4
_MATCH_LIMIT = 10_000
# Longer than any freeze: a frozen entry answers after it is resumed.
_TIMEOUT_S = 40
_VERDICT_STATUSES = frozenset((200, 403, 409, 422))


class Load:
    """Worker threads that send requests until stopped."""

    def __init__(self, tier: Tier, journal: Journal, seed: int) -> None:
        self._tier = tier
        self._journal = journal
        self._seed = seed
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self._lock = threading.Lock()
        self._rotation = list(tier.instances)

    def start(self) -> None:
        """Start all worker threads."""
        self._add_workers(_QUERY_WORKERS, 'query', self._send_query)
        self._add_workers(_ONCE_WORKERS, 'once', self._send_once)
        self._add_workers(_CHANGE_WORKERS, 'change', self._send_change)
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the workers and wait for requests in flight."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def remove_entry(self, entry: str) -> None:
        """Remove an entry from the rotation, as a load balancer does."""
        with self._lock:
            self._rotation.remove(entry)

    def restore_entry(self, entry: str) -> None:
        """Return an entry to the rotation."""
        with self._lock:
            self._rotation.append(entry)

    def send(
        self,
        entry: str,
        caller: str,
        request: Mapping[str, Any],
    ) -> Mapping[str, Any] | None:
        """Send a request, record the exchange and return the answer."""
        started = time.monotonic()
        answer = None
        sent = True
        try:
            reply = self._tier.clients.caller(entry, caller).call(
                'POST',
                '/v1/query',
                request,
                _TIMEOUT_S,
            )
        except ServerUnreachableError:
            sent = False
        except UnknownOutcomeError as error:
            self._journal.log_event(f'{entry}: {error}')
        else:
            answer = reply.content
        self._journal.exchanges.append(
            Exchange(entry, started, time.monotonic(), request, answer, sent)
        )
        return answer

    def resolve_changes(self) -> None:
        """Resend changes of unknown outcome until they have a verdict."""
        self._journal.changes = [
            change if change.verdict else self._submit(change.content)
            for change in self._journal.changes
        ]

    def _add_workers(
        self,
        count: int,
        kind: str,
        work: Callable[[random.Random], None],
    ) -> None:
        for number in range(count):
            generator = random.Random(f'{self._seed}-{kind}-{number}')
            thread = threading.Thread(
                target=self._repeat,
                args=(work, generator),
                name=f'{kind}-{number}',
                daemon=True,
            )
            self._threads.append(thread)

    def _repeat(
        self,
        work: Callable[[random.Random], None],
        generator: random.Random,
    ) -> None:
        while not self._stop.wait(generator.uniform(0, _MAX_PAUSE_S)):
            try:
                work(generator)
            except Exception as error:
                self._journal.findings.append(f'test kit: {error!r}')

    def _choose_entry(self, generator: random.Random) -> str:
        with self._lock:
            return generator.choice(self._rotation)

    def _send_query(self, generator: random.Random) -> None:
        request = {
            'group': 'tracedesk',
            'class_name': 'teller',
            'query': {'item': generator.randrange(_ITEMS)},
            'limit': _MATCH_LIMIT,
            'deadline_ms': _DEADLINE_MS,
        }
        self.send(self._choose_entry(generator), 'tellers', request)

    def _send_once(self, generator: random.Random) -> None:
        """Send a once-only request, with retries under the same key."""
        key = make_timestamped_id()
        request = {
            'group': 'stopline',
            'class_name': 'stop-payment',
            'query': {'key': key},
            'key': key,
            'deadline_ms': _DEADLINE_MS,
        }
        for _ in range(_MAX_SENDS):
            entry = self._choose_entry(generator)
            answer = self.send(entry, 'stop-desk', request)
            resend = generator.random() < 0.1  # noqa: WPS459 - a share
            if answer and answer.get('outcome') == 'complete' and not resend:
                return
            self._stop.wait(generator.uniform(0, 1))

    def _send_change(self, generator: random.Random) -> None:
        """Submit a change that competes with the other worker for a version."""
        self._stop.wait(generator.uniform(0, _MAX_CHANGE_PAUSE_S))
        entry = self._choose_entry(generator)
        base = self._tier.clients.read_version(entry)
        if base <= 0:
            return
        edit = {
            'op': 'put',
            'kind': 'domains',
            'name': f'spare-{generator.randrange(10**9)}',
            'spec': {'owner': 'platform', 'region': 'spare'},
        }
        content = {
            'change_id': make_timestamped_id(),
            'base_version': base,
            'edits': [edit],
            'reason': 'soak',
        }
        self._journal.changes.append(self._submit(content, entry))

    def _submit(
        self,
        content: Mapping[str, Any],
        entry: str = '',
    ) -> SentChange:
        entry = entry or self._tier.list_running()[0]
        verdict = None
        try:
            reply = self._tier.clients.operator(entry, 'platform').call(
                'POST',
                '/v1/catalogue',
                content,
            )
        except (ServerUnreachableError, UnknownOutcomeError):
            return SentChange(entry, content, None)
        if reply.status in _VERDICT_STATUSES and 'change_id' in reply.content:
            verdict = reply.content
        return SentChange(entry, content, verdict)
