"""Clients and the operator."""

import asyncio
import itertools
import json
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from standins.http import Message, encode_request, exchange
from standins.record import Record
from standins.tier import Tier

HOST = 'leno12.example'
# A caller of control moves on after a second without a response.
_ORDER_TIMEOUT_S = 1.0
_FIRST_BACKOFF_S = 0.1


class Operator:
    """Sends orders as the pages say: moves on until one is acknowledged."""

    def __init__(self, tier: Tier, record: Record) -> None:
        self._tier = tier
        self._record = record

    async def order(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        first: Sequence[str] = (),
    ) -> float:
        """Send an order until it is acknowledged; return that time.

        ``first`` are the nodes that it picks before the others.
        """
        others = [each for each in self._tier.controls if each not in first]
        request = encode_request(
            method,
            path,
            {'Host': 'control', 'Content-Type': 'application/json'},
            body,
        )
        backoff_s = _FIRST_BACKOFF_S
        for name in itertools.chain(first, itertools.cycle(others)):
            self._record.add('order', method=method, path=path, node=name)
            answer = await exchange(
                self._tier.control(name), request, _ORDER_TIMEOUT_S
            )
            status = answer.status if answer else 0
            self._record.add(
                'order-answer', method=method, path=path, node=name, got=status
            )
            if status == 200:
                return time.monotonic()
            await asyncio.sleep(backoff_s)
            backoff_s = min(backoff_s * 2, 1)
        raise AssertionError

    async def read_config(self, name: str) -> Any:
        """Return the configuration that a node tells, or None."""
        answer = await exchange(
            self._tier.control(name),
            encode_request('GET', '/-/config', {'Host': 'control'}),
            _ORDER_TIMEOUT_S,
        )
        if answer is None or answer.status != 200:
            return None
        return json.loads(answer.body)


@dataclass(frozen=True)
class Sent:
    """A request of a client and its answer."""

    request_id: str
    at: float
    # Time of the answer, or of the end of the wait for it.
    answered_at: float
    entry: str
    answer: Message | None


class Clients:
    """Sends requests to entries, each on a new connection."""

    def __init__(self, tier: Tier, record: Record) -> None:
        self._tier = tier
        self._record = record
        self._numbers = itertools.count(1)
        self.sent: list[Sent] = []

    async def request(
        self,
        entry: str,
        path: str,
        deadline_ms: int = 2000,
        method: str = 'GET',
        body: bytes = b'',
    ) -> Sent:
        """Send one request and wait for its answer."""
        request_id = f'{next(self._numbers):016x}'
        at = time.monotonic()
        self._record.add('sent', request=request_id, entry=entry, path=path)
        answer = await exchange(
            self._tier.front(entry),
            encode_request(
                method,
                path,
                {
                    'Host': HOST,
                    'Request-Id': request_id,
                    'Deadline-Ms': str(deadline_ms),
                },
                body,
            ),
            deadline_ms / 1000,
        )
        self._record.add(
            'answered',
            request=request_id,
            status=answer.status if answer else 'none',
            signature=answer.headers.get('backend-signature', '-')
            if answer
            else '-',
        )
        sent = Sent(request_id, at, time.monotonic(), entry, answer)
        self.sent.append(sent)
        return sent

    async def load(self, entry: str, path: str, gap_s: float) -> None:
        """Send requests until cancelled, whether or not answers come."""
        running: set[asyncio.Task[Sent]] = set()
        try:
            for number in itertools.count():
                task = asyncio.ensure_future(
                    self.request(entry, f'{path}{number % 97}')
                )
                running.add(task)
                task.add_done_callback(running.discard)
                await asyncio.sleep(gap_s)
        finally:
            for each in tuple(running):
                each.cancel()


async def wait_until_ready(tier: Tier, timeout_s: float = 20) -> None:
    """Wait until all entries are ready; exits with 2 otherwise."""
    deadline = time.monotonic() + timeout_s
    question = encode_request('GET', '/-/readiness', {'Host': 'ready'})
    for name in tier.entries:
        while True:
            answer = await exchange(tier.ready(name), question, 1)
            if answer is not None and answer.status == 200:
                break
            if time.monotonic() > deadline:
                raise SystemExit(2)
            await asyncio.sleep(0.1)


def make_service(name: str, **changes: Any) -> dict[str, Any]:
    """Return a service of a configuration."""
    service = {
        'Name': name,
        'HealthCheck': '/health',
        'MaxConnections': 110,
        'Protocol': 'h1',
        'Tls': False,
        'WarmupS': 3.0,
        'WarmupPerS': 0.0,
    }
    return {**service, **changes}


def make_route(name: str, prefix: str, **changes: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    route = {
        'Name': name,
        'Hostname': HOST,
        'PathPrefix': prefix,
        'RouteType': 'idempotent',
        'TimeoutMs': 2000,
        'TargetLatencyMs': 145,
        'Priority': 1,
        'MaxAttempts': 2,
    }
    return {**route, **changes}


def make_config(
    version: int, routes: Sequence[Any], services: Sequence[Any]
) -> bytes:
    """Return the body of a configuration."""
    limits = {
        'MaxHeaderBytes': 16384,
        'MaxBodyBytes': 262144,
        'HeaderTimeoutMs': 3000,
        'IdleTimeoutMs': 15000,
    }
    return json.dumps(
        {
            'Version': version,
            'Routes': list(routes),
            'Services': list(services),
            'Limits': limits,
        }
    ).encode()
