"""Load patterns: targets that can't take the load, and who is refused then.

No network is used.
"""

import asyncio
import random

import pytest

from shallotgate.admission import Decision, ShardOutlook
from shallotgate.aio import IncomingRequest, ReplyLimits
from shallotgate.gateway._admission_report import AdmissionReporter
from shallotgate.gateway._call import make_call
from shallotgate.gateway._options import GatewayOptions
from shallotgate.gateway._wire import CallerRequest
from shallotgate.metrics import Metrics
from shallotgate.routes import Route, RoutingTable, Service
from testkit.gateway import SimulatedTier
from testkit.virtual import run_virtual

OBJECTIVE_MS = 171
WORK_S = 0.0165
SHARDS = 4
# Requests a second by route: 93 in 100 of the room of the slow shard, whose 8
# slots take 140 ms for each request.
USUAL = {'usual': 40, 'urgent': 13}


class Crowd:
    """A hundred entries that receive requests of two priorities."""

    def __init__(self, is_load_reported=True, **fields):
        self.tier = SimulatedTier(
            100, shards=SHARDS, max_connections=110, **fields
        )
        for target in self.tier.list_all_targets():
            target.is_load_reported = is_load_reported
            target.service_time_s = WORK_S
        names = tuple(self.tier.targets)
        routes = tuple(
            Route(
                name,
                'host',
                f'/{name}/',
                True,
                1526,
                OBJECTIVE_MS,
                priority,
                2,
                shards=names,
                top_count=5,
                min_coverage=1,
            )
            for priority, name in enumerate(('urgent', 'usual'))
        )
        services = tuple(Service(name, max_connections=110) for name in names)
        for entry in self.tier.entries:
            entry.gateway.activate_table(RoutingTable(2, routes, services))
        # Route, status, duration in ms and id of each request.
        self.results = []
        self._generator = random.Random(SHARDS)

    async def send(self, per_s, seconds):
        """Send requests at a rate by route; return their results."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        tasks = []
        self.results = []
        while loop.time() < ends_at:
            wait_s = self._generator.expovariate(sum(per_s.values()))
            await asyncio.sleep(wait_s)
            route = self._generator.choices(list(per_s), per_s.values())[0]
            tasks.append(asyncio.ensure_future(self._send_one(route)))
        await asyncio.gather(*tasks)
        return self.results

    async def _send_one(self, route):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        request_id = b'%d' % self._generator.randrange(10**12)
        response = await self._choose_entry().gateway.handle(
            IncomingRequest(
                method=b'GET',
                path=f'/{route}/x'.encode(),
                headers=[],
                body=request_id,
                received_at=started_at,
            )
        )
        duration_ms = (loop.time() - started_at) * 1000
        self.results.append((route, response.status, duration_ms, request_id))

    def _choose_entry(self):
        return self._generator.choice(self.tier.entries)


def count_part(results, *statuses, within_ms=10_000):
    return sum(
        status in statuses and duration_ms < within_ms
        for _, status, duration_ms, _ in results
    ) / len(results)


async def play_slow_shard(per_s, seconds=8, **fields):
    """Return the results while all replicas of one shard are slow."""
    crowd = Crowd(**fields)
    await crowd.send(USUAL, 4)
    first, second, third = crowd.tier.targets['s0']
    first.speed = second.speed = 8.5
    third.is_up = False
    third.drops_connection = True
    return await crowd.send(per_s, seconds), crowd


@pytest.mark.parametrize('has_leader', [True, False])
def test_burst_at_a_slow_shard_is_refused_in_order_of_priority(has_leader):
    """Guards against a queue that makes all requests late.

    A burst of one kind at 2.4 times, with and without a leader.
    """
    results, crowd = run_virtual(
        play_slow_shard({'usual': 96, 'urgent': 13}, has_leader=has_leader)
    )
    by_route = {
        route: [one for one in results if one[0] == route] for route in USUAL
    }
    usual = count_part(by_route['usual'], 503)
    urgent = count_part(by_route['urgent'], 503)
    assert 0.2 < usual < 0.75
    assert urgent < usual
    # Refused at once, and sent to no target.
    refused = {one[3] for one in results if one[1] == 503 and one[2] < 1}
    received = {
        request_id
        for target in crowd.tier.list_all_targets()
        for request_id in target.received_ids
    }
    assert refused
    assert not refused & received


def test_usual_load_and_targets_without_a_speed_are_not_refused():
    """Guards against refusals where nothing is full or nothing is known."""

    async def play_usual():
        return await Crowd().send(USUAL, 6)

    assert count_part(run_virtual(play_usual()), 200) == 1
    results, _ = run_virtual(
        play_slow_shard(USUAL, seconds=3, is_load_reported=False)
    )
    assert count_part(results, 503, within_ms=1) == 0


def test_targets_that_die_with_their_queue_are_used_again():
    """Guards against refusals that outlast their cause."""

    async def play():
        _, crowd = await play_slow_shard({'usual': 96, 'urgent': 13}, 3)
        targets = crowd.tier.targets['s0']
        for target in targets:
            target.is_up = False
            # Connections are reset at once.
            target.drops_connection = True
            target.speed = 0.01
        dead = await crowd.send(USUAL, 4)
        for target in targets:
            target.is_up = True
            target.drops_connection = False
            target.speed = 1
        await crowd.send(USUAL, 6)
        return dead, await crowd.send(USUAL, 3)

    dead, recovered = run_virtual(play())
    assert count_part(dead, 502, 503, within_ms=100) > 0.95
    assert count_part(recovered, 200, within_ms=OBJECTIVE_MS) > 0.95


def test_refusals_are_counted_and_logged_once_for_a_service(caplog):
    """Guards against a line for each refusal, and against unbounded lines."""
    caplog.set_level('INFO', 'shallotgate')
    route = Route('r', 'host', '/', True, 1000, 100, 1, shards=('s0', 's1'))
    call = make_call(
        IncomingRequest(b'GET', b'/', [], b'', 0, 0),
        CallerRequest(b'id', 'host', None, b''),
        route,
        1,
        GatewayOptions('a', None, ReplyLimits()),
    )
    metrics = Metrics()
    reporter = AdmissionReporter(metrics)
    for number in range(300):
        shard = ShardOutlook(f's{number % 30}', 500, pressure=0.5)
        reporter.record(call, Decision('pressure', shard, 0.4), 100.5)
    lines = [one.getMessage() for one in caplog.records]
    assert lines == ['admission: Requests are refused.'] * 5
    counter = metrics.get_counter(
        'admission_refused_total', reason='pressure', priority='1'
    )
    assert counter == 300
    reporter.record(call, Decision('', shard), 110)
    ended = [one for one in caplog.records if 'no longer' in one.getMessage()]
    assert ended[0].refused == {'pressure/1': 10}
    assert 'admission_pressure{service="s0"}' in metrics.render()
