import time
from types import SimpleNamespace

from shallotgate.generated.catalogue import Target
from shallotgate.targets._core import TargetCore
from shallotgate.targets._limiter import Limiter
from shallotgate.targets._task import AttemptTask, Outcome


def make_core(slots=3):
    target = Target(
        name='t', address='h:1', domain='d', slots=slots, connections=9
    )
    limiter = Limiter(slots, 1, cold_start=True)
    limiter.restore(slots, normal_ms=5)
    gate = SimpleNamespace(find_refusal=lambda target, attempt: '')
    return TargetCore(target, slots, limiter, gate)


def start_all(core):
    now = time.monotonic()
    attempt = SimpleNamespace(trial='', screening=False)
    for _ in range(core.limiter.limit):
        core.queue.add(AttemptTask(attempt, print, now, now + 9))
    return list(iter(lambda: core.pop([]), None))


def finish(core, task, status, **fields):
    core.apply_outcome(task, Outcome(status, **fields))
    core.release_slot(task)


def test_attempts_in_flight_reduce_the_limit_once():
    """Guards against attempts in flight that reduce the limit repeatedly."""
    core = make_core()
    for task in start_all(core):
        finish(core, task, 'not_run', reason='shed')
    assert core.limiter.reductions == 2


def test_slow_failures_reduce_limit_to_half_duty():
    """Guards against full load on a target that returns only slow failures."""
    core = make_core()
    for _ in range(2):
        for task in start_all(core):
            finish(core, task, 'failed', service_ms=250)
    assert core.limiter.is_half_duty


def test_overlapping_attempts_count_as_load():
    """Guards against a latency under load that raises the normal latency."""
    core = make_core()
    tasks = start_all(core)
    assert [task.load for task in tasks] == [1, 2, 3]
    assert {task.peak_load for task in tasks} == {3}
    finish(core, tasks[0], 'ok', service_ms=100)
    assert core.limiter.normal_ms == 5
