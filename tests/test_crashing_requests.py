"""Quarantine of requests that crash targets, and loss of a domain."""

import dataclasses
import itertools
import os
import signal
import threading
import time
from collections import Counter

import pytest

from shallotgate.generated.answers import QueryRequest
from shallotgate.query import canonicalize_request
from testkit.deployments import make_small_clearing
from testkit.runner import Tier, wait_until
from tests.support import WorkerThreads, make_random, set_target_behavior
from tests.support import ask as ask_entry

GROUP = 'tracedesk'
CLASS = 'teller'
PAGE = '/v1/quarantine'
DOMAIN = 'bc-lower-b'
WAIT_TIMEOUT_S = 90
RESENDS = 10
# Few enough that a query is in flight on several targets of a domain.
ITEMS = 2
WORKER_COUNT = 12
# Long enough for most targets to have attempts in flight at any time.
SERVICE_MS = 100
# Exit status of a stand-in that a request crashed.
CRASHED = 139
# Reasons of answers to requests whose last attempt was lost with its target.
LOST_REASONS = {'target_lost', 'late', 'not_screened'}


@pytest.fixture
def rng():
    return make_random()


@pytest.fixture
def tier():
    deployment = make_small_clearing()
    services = tuple(
        dataclasses.replace(service, service_ms=SERVICE_MS)
        for service in deployment.services
    )
    deployment = dataclasses.replace(deployment, services=services)
    with Tier(deployment, settings={'abort_on_breach': True}) as running:
        running.start()
        wait_complete(running, [{'item': -1}])
        yield running
        assert running.list_breaches() == []


def ask(tier, entry, query):
    request = {'group': GROUP, 'class_name': CLASS, 'query': query}
    answer = ask_entry(tier, entry, request)
    return answer or {'outcome': 'none', 'reason': 'broken connection'}


def make_digest(query):
    request = QueryRequest(group=GROUP, class_name=CLASS, query=query)
    return canonicalize_request(request)[0]


def wait_complete(tier, queries):
    """Wait until each entry gives a complete answer to each query."""
    for entry, query in itertools.product(tier.instances, queries):
        wait_until(
            lambda entry=entry, query=query: (
                ask(tier, entry, query)['outcome'] == 'complete'
            ),
            WAIT_TIMEOUT_S,
            f'complete answer of {entry} to {query}',
        )


def read_statuses(tier):
    """Return the status of each digest that is or was a suspect."""
    pages = []

    def read():
        pages[:] = [tier.clients.read(next(iter(tier.instances)), PAGE)]
        return pages[0] is not None

    wait_until(read, WAIT_TIMEOUT_S, 'the quarantine page')
    return {row['digest']: row['status'] for row in pages[0]}


class Load(WorkerThreads):
    """WorkerThreads that resend each innocent query until it is complete."""

    def __init__(self, tier, rng):
        super().__init__(self._work, rng.getrandbits(32), WORKER_COUNT)
        self.outcomes = Counter()
        self.unanswered = []
        self._tier = tier

    def stop(self):
        super().stop()
        print(dict(self.outcomes))

    def count_complete(self):
        return self.outcomes['complete', '']

    def _work(self, rng):
        query = {'item': rng.randrange(ITEMS)}
        give_up_at = time.monotonic() + WAIT_TIMEOUT_S
        while not self._is_complete(rng, query):
            if time.monotonic() > give_up_at:
                self.unanswered.append(query)
                return
            time.sleep(0.05)

    def _is_complete(self, rng, query):
        entry = rng.choice(list(self._tier.instances))
        answer = ask(self._tier, entry, query)
        outcome = answer.get('outcome', 'none')
        self.outcomes[outcome, answer.get('reason', '')] += 1
        return outcome == 'complete'


class TargetRestarter:
    """Restarts stand-ins that exited, as a platform does."""

    def __init__(self, tier):
        self._tier = tier
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._work)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_error):
        self._stopped.set()
        self._thread.join()

    def _work(self):
        while not self._stopped.wait(0.2):
            for process in self._tier.targets.values():
                if not process.is_running():
                    process.start()


def count_crashes(tier):
    for process in tier.targets.values():
        process.is_running()
    return sum(
        process.exits.count(CRASHED) for process in tier.targets.values()
    )


def check_outcomes(outcomes, crashes):
    """Check that only what was sent and lost is called unknown.

    An attempt whose target crashed was sent and never answered; the product
    does not call it failed or refused where no later attempt settles it.
    """
    unknown = {pair: outcomes[pair] for pair in outcomes if 'unknown' in pair}
    settled = {outcome for outcome, _ in outcomes.keys() - unknown.keys()}
    assert settled <= {'failed', 'refused'}
    assert {reason for _, reason in unknown} <= LOST_REASONS
    assert sum(unknown.values()) <= crashes


def stop_crashing(tier):
    for name in tier.targets:
        set_target_behavior(tier, name, crash_on_content=False)


def test_crashing_request_costs_two_targets_in_the_tier(tier, rng):
    """Guards against a request that takes down one target after the other
    when its caller resends it, and quarantines requests in flight beside it."""
    crashing = {'crash': True, 'number': rng.randrange(2**32)}
    digest = make_digest(crashing)
    entries = itertools.cycle(rng.sample(list(tier.instances), 4))
    with TargetRestarter(tier), Load(tier, rng) as load:
        wait_until(lambda: load.count_complete() > 20, WAIT_TIMEOUT_S, 'load')
        answers = [ask(tier, next(entries), crashing) for _ in range(RESENDS)]
        outcomes = Counter(
            (answer['outcome'], answer['reason']) for answer in answers
        )
        print('crashing request:', dict(outcomes), count_crashes(tier))
        check_outcomes(outcomes, count_crashes(tier))
        for entry in tier.instances:
            wait_until(
                lambda entry=entry: (
                    ask(tier, entry, crashing)['reason'] == 'quarantined'
                ),
                WAIT_TIMEOUT_S,
                f'quarantine at {entry}',
            )
        complete = load.count_complete()
        wait_until(
            lambda: load.count_complete() > complete + 100,
            WAIT_TIMEOUT_S,
            'load after the quarantine',
        )
    assert 1 <= count_crashes(tier) <= 2
    assert load.unanswered == []
    statuses = read_statuses(tier)
    quarantined = [key for key in statuses if statuses[key] == 'quarantined']
    assert quarantined == [digest]
    wait_until(
        lambda: all(process.is_running() for process in tier.targets.values()),
        WAIT_TIMEOUT_S,
        'all targets',
    )
    wait_complete(tier, [{'item': number} for number in range(ITEMS)])
    stop_crashing(tier)
    operator = tier.clients.operator(next(iter(tier.instances)))
    lift = {'digest': digest, 'reason': 'the targets were mended'}
    assert operator.call('POST', '/v1/quarantine/lift', lift).status == 200
    assert read_statuses(tier)[digest] == 'cleared'
    wait_complete(tier, [crashing])


def test_lost_domain_condemns_no_content(tier, rng):
    """Guards against innocent content that is quarantined because it was in
    flight on several targets of a failure domain that crashed."""
    killed = [
        tier.targets[target.name]
        for _, target in tier.deployment.list_targets()
        if target.domain == DOMAIN
    ]
    with Load(tier, rng) as load:
        wait_until(lambda: load.count_complete() > 100, WAIT_TIMEOUT_S, 'load')
        for process in killed:
            os.kill(process.pid, signal.SIGKILL)
        wait_until(lambda: read_statuses(tier), WAIT_TIMEOUT_S, 'suspects')
        complete = load.count_complete()
        wait_until(
            lambda: load.count_complete() > complete + 100,
            WAIT_TIMEOUT_S,
            'load without the domain',
        )
        for process in killed:
            process.wait(WAIT_TIMEOUT_S)
            process.start()
        complete = load.count_complete()
        wait_until(
            lambda: load.count_complete() > complete + 100,
            WAIT_TIMEOUT_S,
            'load after the restart',
        )
    assert load.unanswered == []
    statuses = Counter(read_statuses(tier).values())
    print('digests:', dict(statuses))
    assert not statuses['quarantined']
    wait_complete(tier, [{'item': number} for number in range(ITEMS)])
    assert 'quarantined' not in read_statuses(tier).values()
