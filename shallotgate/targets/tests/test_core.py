import time
from types import SimpleNamespace

from shallotgate.generated.catalogue import Target
from shallotgate.targets._core import TargetCore
from shallotgate.targets._limiter import Limiter
from shallotgate.targets._task import Outcome, Work


def make_core(slots=3):
    target = Target(
        name='t', address='h:1', domain='d', slots=slots, connections=9
    )
    limiter = Limiter(slots, 1, cold_start=True)
    limiter.adopt(slots, normal_ms=5)
    gate = SimpleNamespace(refuse=lambda target, attempt: '')
    return TargetCore(target, slots, limiter, gate)


def start_all(core):
    now = time.monotonic()
    attempt = SimpleNamespace(trial='', screening=False)
    for _ in range(core.limiter.limit):
        core.queue.add(Work(attempt, print, now, now + 9))
    return list(iter(lambda: core.pop([]), None))


def end(core, work, status, **fields):
    core.learn(work, Outcome(status, **fields))
    core.free(work)


def test_attempts_in_flight_reduce_the_limit_once():
    """Guards against growth that each attempt in flight slows further."""
    core = make_core()
    for work in start_all(core):
        end(core, work, 'not_run', reason='shed')
    assert core.limiter.reductions == 2


def test_collapsed_target_is_not_fed_on():
    """Guards against a target that only fails, slowly, at its full limit."""
    core = make_core()
    for _ in range(2):
        for work in start_all(core):
            end(core, work, 'failed', service_ms=250)
    assert core.limiter.is_half


def test_overlapping_attempts_count_as_load():
    """Guards against slowness by load that is learnt as normal."""
    core = make_core()
    works = start_all(core)
    assert [work.load for work in works] == [1, 2, 3]
    assert {work.peak for work in works} == {3}
    end(core, works[0], 'ok', service_ms=100)
    assert core.limiter.normal_ms == 5
