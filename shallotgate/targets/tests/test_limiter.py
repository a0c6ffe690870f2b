import random

from shallotgate.targets._connector import TargetReport
from shallotgate.targets._limiter import Limiter
from shallotgate.targets._observation import Observation


def feed(limiter, service_ms, times=1):
    for _ in range(times):
        limiter.record_success(service_ms, limiter.limit)


def make_warm():
    limiter = Limiter(4, 1, cold_start=True)
    feed(limiter, 5, 500)
    assert not limiter.is_cold
    return limiter


def test_limit_grows_only_at_full_use():
    """Guards against growth of a limit that was never fully used."""
    limiter = Limiter(4, 1, cold_start=True)
    feed(limiter, 5, 19)
    assert limiter.is_half_duty
    feed(limiter, 5, 1)
    assert (limiter.limit, limiter.is_half_duty) == (1, False)
    feed(limiter, 5, 40)
    assert limiter.limit == 2
    for _ in range(500):
        limiter.record_success(5, 1)
    assert limiter.limit == 2


def test_overload_of_a_cold_target_halves_and_slows_growth():
    """Guards against repeated probing of an overloaded target."""
    limiter = Limiter(4, 1, cold_start=True)
    feed(limiter, 5, 100)
    assert limiter.limit == 3
    feed(limiter, 13, 2)
    assert (limiter.limit, limiter.is_half_duty) == (1, False)
    feed(limiter, 5, 40)
    assert limiter.limit == 1
    feed(limiter, 5, 40)
    assert limiter.limit == 2


def test_latency_starts_with_the_first_reply():
    """Guards against underestimated queueing times of a new target."""
    limiter = Limiter(4, 1, cold_start=True)
    feed(limiter, 5)
    assert limiter.latency_ms == 5
    feed(limiter, 10)
    assert limiter.latency_ms == 6


def test_overload_does_not_raise_normal_latency():
    """Guards against an overload threshold that rises with the overload."""
    limiter = Limiter(4, 1, cold_start=True)
    feed(limiter, 5, 100)
    for _ in range(200):
        limiter.record_success(8, 2)
    assert limiter.normal_ms < 5.5


def test_one_straggler_does_not_turn_a_warm_target_cold():
    """Guards against a loss of capacity after each slow reply."""
    limiter = make_warm()
    for _ in range(50):
        feed(limiter, 100, 2)
        feed(limiter, 5, 1)
    assert not limiter.is_cold
    limiter = make_warm()
    for _ in range(50):
        feed(limiter, 100, 2)
        feed(limiter, 5, 60)
    assert not limiter.is_cold
    feed(limiter, 100, 3)
    assert limiter.is_half_duty


def test_noise_does_not_keep_a_target_cold():
    """Guards against limits that are reduced because of latency noise."""
    seed = random.randrange(2**32)
    print(f'seed {seed}')
    rng = random.Random(seed)
    limiter = Limiter(3, 1, cold_start=True)
    warm = 0
    for _ in range(4000):
        noise_ms = 20 if rng.random() < 0.1 else rng.random()
        feed(limiter, 5 + noise_ms)
        warm += not limiter.is_cold
    assert warm > 2000


def test_short_deadline_is_no_overload():
    """Guards against limits that are reduced by callers' short deadlines."""
    limiter = make_warm()
    limiter.record_timeout(4)
    limiter.record_timeout(18)
    assert limiter.limit == 4
    limiter.record_timeout(100)
    assert limiter.limit == 2


def test_slower_target_becomes_warm():
    """Guards against a target that stays cold after it became slower."""
    limiter = make_warm()
    feed(limiter, 100, 3)
    feed(limiter, 100, 3000)
    assert not limiter.is_cold


def test_overlapping_attempts_do_not_raise_normal_latency():
    """Guards against latency under overload in the normal latency.

    An attempt that is dispatched alone may overlap with the next one. Five
    such replies raised the normal latency until four times that latency
    counted as normal.
    """
    limiter = Limiter(3, 1, cold_start=True)
    feed(limiter, 25, 60)
    for _ in range(20):
        limiter.record_success(100, 1, 2)
        limiter.record_success(27, 1, 1)
    assert limiter.normal_ms < 28


def test_slow_failures_turn_a_warm_target_cold():
    """Guards against full load on a collapsed target that only fails."""
    limiter = make_warm()
    for _ in range(3):
        limiter.record_failure()
        limiter.record_slow(100, 4)
    assert limiter.is_half_duty


def test_single_fast_replies_do_not_hide_an_overload():
    """Guards against full load on a target that sustains one attempt only."""
    limiter = make_warm()
    for _ in range(3):
        limiter.record_success(100, 2)
        limiter.record_success(5, 1)
    assert limiter.is_half_duty


def test_one_stall_does_not_turn_a_warm_target_cold():
    """Guards against a loss of capacity after a single stall.

    A stall delays all attempts in flight at once.
    """
    limiter = make_warm()
    for _ in range(4):
        limiter.record_success(100, 4, during_slow_streak=False)
    assert not limiter.is_cold
    # One slot is held back until the slowness is refuted.
    assert limiter.capacity == 3
    feed(limiter, 5)
    assert limiter.capacity == 4


def test_frequent_noise_does_not_hide_an_overload():
    """Guards against overload that is not detected in noisy latencies."""
    seed = random.randrange(2**32)
    print(f'seed {seed}')
    rng = random.Random(seed)
    limiter = Limiter(3, 1, cold_start=True)
    while limiter.limit < 2:
        limiter.record_success(25 + rng.choice((1, 1, 40)), limiter.limit)
    for _ in range(6):
        if limiter.limit > 1:
            limiter.record_success(100 + rng.choice((1, 1, 40)), 2)
    assert limiter.limit == 1


def make_report(uptime_ms, start_id='s', draining=False):
    return TargetReport(start_id, uptime_ms, draining, 0, ())


def test_older_report_does_not_undo_a_reply():
    """Guards against old reports that hide a drain or a restart."""
    observation = Observation()
    observation.observe_report(make_report(1000), 0)
    observation.observe_reply(make_report(5000, draining=True), 1)
    observation.observe_report(make_report(2000), 1.1)
    assert observation.draining
    observation.observe_report(make_report(6000), 1.2)
    assert observation.draining
    observation.observe_report(make_report(12_000), 7)
    assert not observation.draining


def test_regular_drain_does_not_extend_hold_time():
    """Guards against a hold time that grows with each regular drain."""
    observation = Observation()
    for number in range(6):
        start_ms = number * 20_000
        observation.observe_reply(
            make_report(start_ms + 1000, draining=True), start_ms
        )
        observation.observe_report(make_report(start_ms + 7000), start_ms + 6)
        assert not observation.draining
        observation.observe_reply(make_report(start_ms + 8000), start_ms + 7)


def test_hold_time_grows_with_false_reports():
    """Guards against repeated attempts on a target with false reports.

    The reports deny a drain that the replies announce.
    """
    observation = Observation()
    now, probes = 0, 0
    while now < 300:
        if not observation.draining:
            probes += 1
            observation.observe_reply(
                make_report(now * 1000 + 1, draining=True), now
            )
        now += 1
        observation.observe_report(make_report(now * 1000), now)
    assert probes <= 7


def test_false_drain_report_is_refuted_by_a_later_reply():
    """Guards against a false report that takes a target out of use."""
    observation = Observation()
    observation.observe_report(make_report(1000, draining=True), 0)
    assert observation.draining
    observation.observe_reply(make_report(1500), 0.1)
    assert not observation.draining


def test_refuted_drain_report_is_ignored_when_repeated():
    """Guards against a repeated false report that keeps a target idle."""
    observation = Observation()
    observation.observe_report(make_report(1000, draining=True), 0)
    observation.observe_reply(make_report(1500), 0.1)
    observation.observe_report(make_report(2000, draining=True), 1)
    assert not observation.draining
    observation.observe_report(make_report(3000), 2)
    observation.observe_report(make_report(4000, draining=True), 3)
    assert observation.draining


def test_reported_drain_can_be_refuted_in_time():
    """Guards against a false report that takes effect immediately."""
    observation = Observation()
    observation.observe_report(make_report(1000), 0)
    observation.observe_report(make_report(2000, draining=True), 1)
    assert not observation.is_draining(2.9)
    observation.observe_reply(make_report(3900), 2.9)
    assert not observation.is_draining(60)


def test_reported_drain_takes_effect_without_replies():
    """Guards against attempts later than 5 s after the start of a drain."""
    observation = Observation()
    observation.observe_report(make_report(1000), 0)
    observation.observe_report(make_report(2000, draining=True), 1)
    assert observation.is_draining(3)
    # The target was not observed for longer, so the drain may have begun long
    # ago.
    observation.observe_report(make_report(5000), 4)
    observation.observe_report(make_report(8500, draining=True), 7.5)
    assert observation.is_draining(7.5)
    unknown = Observation()
    unknown.observe_report(make_report(1000, draining=True), 0)
    assert unknown.is_draining(0)


def test_refusal_confirms_a_reported_drain_at_once():
    """Guards against further attempts while a reported drain is pending."""
    observation = Observation()
    observation.observe_report(make_report(1000), 0)
    observation.observe_report(make_report(2000, draining=True), 1)
    observation.observe_reply(make_report(2100, draining=True), 1.1)
    assert observation.is_draining(1.1)


def test_lagging_report_is_no_restart():
    """Guards against a drain that is reset by a very old report."""
    observation = Observation()
    observation.observe_reply(make_report(9000, draining=True), 0)
    assert not observation.observe_report(make_report(1000), 60)
    assert observation.draining


def test_restart_is_seen_by_start_id_and_by_uptime():
    """Guards against a restarted target that is treated as warm."""
    observation = Observation()
    assert not observation.observe_report(make_report(90_000), 0)
    assert not observation.observe_reply(make_report(90_100), 0)
    assert observation.observe_reply(make_report(50), 1)
    assert observation.observe_report(make_report(60, 'other'), 2)


def test_short_deadlines_do_not_keep_a_target_cold():
    """Guards against limits that are reduced by each short deadline."""
    seed = random.randrange(2**32)
    print(f'seed {seed}')
    rng = random.Random(seed)
    limiter = Limiter(3, 1, cold_start=True)
    warm = 0
    for _ in range(3000):
        feed(limiter, 5)
        if rng.random() < 0.03:
            limiter.record_timeout(rng.uniform(1, 20))
        warm += not limiter.is_cold
    assert warm > 2000
