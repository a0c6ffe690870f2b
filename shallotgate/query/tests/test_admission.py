import random
import threading
import time
from queue import SimpleQueue

import pytest

from shallotgate.generated.catalogue import Caller, ClassPolicy
from shallotgate.query import Admission, RefusedError
from shallotgate.query._limiter import LatencyLimiter
from shallotgate.routing.tests.builders import SEED, Clock, wait_until


class FixedLimiter:
    def __init__(self, limit):
        self.limit = limit

    def record(self, class_name, elapsed_ms, in_flight, service_ms=0):
        """Ignore the sample; the limit is fixed."""


def make_caller(**fields):
    known = {'rate_per_s': 1e6, 'concurrent': 1000, **fields}
    return Caller(owner='o', key_sha256='0' * 64, classes=[], **known)


def make_policy(**fields):
    known = {'mode': 'coverage', 'deadline_ms': 1000, **fields}
    return ClassPolicy(owner='o', **known)


def admit(admission, deadline_s=5.0, policy=None, name='c', caller=None):
    admission.admit(
        'teller',
        caller or make_caller(),
        name,
        policy or make_policy(),
        time.monotonic() + deadline_s,
    )


def test_waiting_queries_are_admitted_by_priority_then_deadline():
    """Guards against urgent queries that queue behind less urgent ones."""
    admission = Admission(FixedLimiter(1))
    admit(admission)
    order = SimpleQueue()

    def ask(label, deadline_s, priority):
        admit(admission, deadline_s, make_policy(priority=priority), label)
        order.put(label)
        admission.release('teller', label, 0.001)

    asked = [('late', 9, 5), ('soon', 3, 5), ('first', 9, 7), ('low', 1, 1)]
    for number, fields in enumerate(asked, start=1):
        threading.Thread(target=ask, args=fields, daemon=True).start()
        wait_until(lambda: admission.count_queued() == number)  # noqa: B023
    admission.release('teller', 'c', 0.001)
    admitted = [order.get(timeout=5) for _ in asked]
    assert admitted == ['first', 'soon', 'late', 'low']
    wait_until(lambda: admission.in_flight == 0)


def test_queue_of_a_class_is_bounded():
    """Guards against a queue that grows without bound."""
    admission = Admission(FixedLimiter(1))
    admit(admission)
    with pytest.raises(RefusedError, match='queue_full'):
        admit(admission, policy=make_policy(queue_limit=0))


def test_running_plus_queued_queries_are_bounded():
    """Guards against queued queries that occupy all server threads."""
    admission = Admission(FixedLimiter(5), max_queries=2)
    admit(admission)
    admit(admission)
    with pytest.raises(RefusedError, match='queue_full'):
        admit(admission)
    admission.release('teller', 'c', 0.001)
    admit(admission)
    assert admission.in_flight == 2


def test_urgent_query_displaces_the_last_waiter():
    """Guards against a full queue of less urgent queries."""
    admission = Admission(FixedLimiter(1), max_queries=2)
    admit(admission)
    outcomes = SimpleQueue()

    def ask(label, priority):
        try:
            admit(admission, 9, make_policy(priority=priority), label)
        except RefusedError as error:
            outcomes.put((label, error.reason))
        else:
            outcomes.put((label, 'admitted'))

    for label, priority in (('patient', 1), ('urgent', 7)):
        threading.Thread(target=ask, args=(label, priority)).start()
        wait_until(lambda: admission.count_queued() == 1)
    assert outcomes.get(timeout=5) == ('patient', 'queue_full')
    with pytest.raises(RefusedError, match='queue_full'):
        admit(admission, policy=make_policy(priority=1))
    admission.release('teller', 'c', 0.001)
    assert outcomes.get(timeout=5) == ('urgent', 'admitted')
    assert admission.count_queued() == 0


def test_query_that_would_wait_too_long_is_refused_at_once():
    """Guards against queuing a query that can't meet its deadline."""
    admission = Admission(FixedLimiter(1))
    admit(admission)
    admission.release('teller', 'c', 0.5)
    admit(admission)
    before = time.monotonic()
    with pytest.raises(RefusedError, match='overload'):
        admit(admission, deadline_s=0.6)
    assert time.monotonic() - before < 0.3


def test_waiting_ends_at_the_deadline():
    """Guards against a query that stays queued past its deadline."""
    admission = Admission(FixedLimiter(1))
    admit(admission)
    with pytest.raises(RefusedError, match='queue_late'):
        admit(admission, deadline_s=0.05)
    assert admission.count_queued() == 0


def test_caller_keeps_to_its_rate_and_concurrency():
    """Guards against one caller that uses up the capacity."""
    admission = Admission()
    slow = make_caller(rate_per_s=2)
    admit(admission, caller=slow)
    admit(admission, caller=slow)
    with pytest.raises(RefusedError, match='caller_rate'):
        admit(admission, caller=slow)
    with pytest.raises(RefusedError, match='caller_concurrency'):
        admit(admission, caller=make_caller(concurrent=2))
    admission.release('teller', 'c', 0.001)
    admit(admission, caller=make_caller(concurrent=2))


def test_refused_waiter_gives_its_place_back():
    """Guards against concurrency slots that leak when queries are refused."""
    admission = Admission(FixedLimiter(1))
    caller = make_caller(concurrent=2)
    admit(admission, caller=caller)
    for _ in range(5):
        with pytest.raises(RefusedError, match='queue_late'):
            admit(admission, deadline_s=0.01, caller=caller)
    admission.release('teller', 'c', 0.001)
    admit(admission, caller=caller)
    admit_later = threading.Thread(
        target=admit, args=(admission,), kwargs={'caller': caller}
    )
    admit_later.start()
    wait_until(lambda: admission.count_queued() == 1)
    admission.release('teller', 'c', 0.001)
    admit_later.join(timeout=5)
    assert admission.in_flight == 1


def run_limiter(limiter, clock, latency_of, seconds):
    """Run at the full limit for a number of simulated seconds."""
    rng = random.Random(SEED)
    for _ in range(int(seconds * 100)):
        clock.now += 0.01
        used = int(limiter.limit)
        noise = rng.uniform(0.9, 1.1)
        limiter.record('c', latency_of(used) * noise, used)


def test_limit_follows_the_capacity():
    """Guards against a limit that diverges from the capacity."""
    clock = Clock()
    limiter = LatencyLimiter(clock)
    # Up to 40 concurrent queries take 10 ms each; beyond that they queue.
    run_limiter(limiter, clock, lambda used: 10 * max(1, used / 40), 120)
    assert 40 <= limiter.limit <= 130
    # The capacity drops to a quarter and recovers.
    run_limiter(limiter, clock, lambda used: 10 * max(1, used / 10), 60)
    assert limiter.limit <= 40
    run_limiter(limiter, clock, lambda used: 10 * max(1, used / 40), 60)
    assert limiter.limit >= 40


def test_goodput_at_twice_the_capacity():
    """Guards against a collapse of goodput under overload.

    Twenty servers take 10 ms per query, which gives a capacity of 2,000
    queries per s. Deadlines are 100 ms. The clock is simulated.
    """
    goodput = {load: simulate(load, random.Random(SEED)) for load in (1, 2)}
    assert goodput[1] >= 0.8
    assert goodput[2] >= 0.9 * goodput[1]


def simulate(load, rng, servers=20, service_s=0.01, deadline_s=0.1):
    """Return the goodput relative to the capacity at a given load factor.

    Queries are admitted or rejected on arrival by the real limiter, without
    the queue of ``Admission``.
    """
    clock = Clock()
    clock.now = 0
    limiter = LatencyLimiter(clock)
    running = []
    free_at = [0.0] * servers
    in_time = 0
    seconds = 20
    arrivals = int(load * servers / service_s * seconds)
    for _ in range(arrivals):
        clock.now += rng.expovariate(load * servers / service_s)
        for done in sorted(one for one in running if one[0] <= clock.now):
            running.remove(done)
            limiter.record('c', (done[0] - done[1]) * 1000, len(running) + 1)
        if len(running) >= int(limiter.limit):
            continue
        server = min(range(servers), key=free_at.__getitem__)
        started = max(free_at[server], clock.now)
        free_at[server] = started + rng.uniform(0.5, 1.5) * service_s
        running.append((free_at[server], clock.now))
        in_time += free_at[server] - clock.now <= deadline_s
    return in_time / (servers / service_s * clock.now)
