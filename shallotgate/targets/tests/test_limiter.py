import random

from shallotgate.targets._connector import TargetReport
from shallotgate.targets._limiter import Limiter
from shallotgate.targets._observation import Observation


def feed(limiter, service_ms, times=1):
    for _ in range(times):
        limiter.note_success(service_ms, limiter.limit)


def make_warm():
    limiter = Limiter(4, 1, cold_start=True)
    feed(limiter, 5, 500)
    assert not limiter.is_cold
    return limiter


def test_limit_grows_only_by_what_was_borne():
    """Guards against growth of a limit that was never in full use."""
    limiter = Limiter(4, 1, cold_start=True)
    feed(limiter, 5, 19)
    assert limiter.is_half
    feed(limiter, 5, 1)
    assert (limiter.limit, limiter.is_half) == (1, False)
    feed(limiter, 5, 40)
    assert limiter.limit == 2
    for _ in range(500):
        limiter.note_success(5, 1)
    assert limiter.limit == 2


def test_overload_of_a_cold_target_halves_and_slows_growth():
    """Guards against probing an overloaded target again and again."""
    limiter = Limiter(4, 1, cold_start=True)
    feed(limiter, 5, 100)
    assert limiter.limit == 3
    feed(limiter, 13, 2)
    assert (limiter.limit, limiter.is_half) == (1, False)
    feed(limiter, 5, 40)
    assert limiter.limit == 1
    feed(limiter, 5, 40)
    assert limiter.limit == 2


def test_latency_starts_with_the_first_reply():
    """Guards against waits that are underestimated for a new target."""
    limiter = Limiter(4, 1, cold_start=True)
    feed(limiter, 5)
    assert limiter.latency_ms == 5
    feed(limiter, 10)
    assert limiter.latency_ms == 6


def test_overload_does_not_become_the_norm():
    """Guards against a threshold that follows the overload upwards."""
    limiter = Limiter(4, 1, cold_start=True)
    feed(limiter, 5, 100)
    for _ in range(200):
        limiter.note_success(8, 2)
    assert limiter.normal_ms < 5.5


def test_one_straggler_does_not_turn_a_warm_target_cold():
    """Guards against lost capacity after each slow reply."""
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
    assert limiter.is_half


def test_noise_does_not_keep_a_target_cold():
    """Guards against limits that fall with the noise of the machine."""
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
    """Guards against limits reduced by impatient callers."""
    limiter = make_warm()
    limiter.note_timeout(4)
    limiter.note_timeout(18)
    assert limiter.limit == 4
    limiter.note_timeout(100)
    assert limiter.limit == 2


def test_slower_target_gets_out_of_the_cold_state():
    """Guards against a target that stays cold after it became slower."""
    limiter = make_warm()
    feed(limiter, 100, 3)
    feed(limiter, 100, 3000)
    assert not limiter.is_cold


def test_overlapped_attempts_do_not_teach_the_normal_latency():
    """Guards against an overload that is taken for the normal latency.

    An attempt sent alone is overlapped by the next one; five such replies
    raised the normal latency until four times of it seemed ordinary.
    """
    limiter = Limiter(3, 1, cold_start=True)
    feed(limiter, 25, 60)
    for _ in range(20):
        limiter.note_success(100, 1, 2)
        limiter.note_success(27, 1, 1)
    assert limiter.normal_ms < 28


def test_slow_failures_turn_a_warm_target_cold():
    """Guards against full load on a target that collapsed and only fails."""
    limiter = make_warm()
    for _ in range(3):
        limiter.note_failure()
        limiter.note_slow(100, 4)
    assert limiter.is_half


def test_single_fast_replies_do_not_hide_an_overload():
    """Guards against full load on a target that bears one attempt only."""
    limiter = make_warm()
    for _ in range(3):
        limiter.note_success(100, 2)
        limiter.note_success(5, 1)
    assert limiter.is_half


def test_one_stall_does_not_turn_a_warm_target_cold():
    """Guards against lost capacity when all in flight are delayed once."""
    limiter = make_warm()
    for _ in range(4):
        limiter.note_success(100, 4, is_later=False)
    assert not limiter.is_cold
    # One slot rests until the slowness is refuted.
    assert limiter.room == 3
    feed(limiter, 5)
    assert limiter.room == 4


def test_frequent_noise_does_not_hide_an_overload():
    """Guards against a target overfed because its replies are noisy."""
    seed = random.randrange(2**32)
    print(f'seed {seed}')
    rng = random.Random(seed)
    limiter = Limiter(3, 1, cold_start=True)
    while limiter.limit < 2:
        limiter.note_success(25 + rng.choice((1, 1, 40)), limiter.limit)
    for _ in range(6):
        if limiter.limit > 1:
            limiter.note_success(100 + rng.choice((1, 1, 40)), 2)
    assert limiter.limit == 1


def make_report(uptime_ms, start_id='s', draining=False):
    return TargetReport(start_id, uptime_ms, draining, 0, ())


def test_older_report_does_not_undo_a_reply():
    """Guards against lagging reports that hide a drain or a restart."""
    seen = Observation()
    seen.see_report(make_report(1000), 0)
    seen.see_reply(make_report(5000, draining=True), 1)
    seen.see_report(make_report(2000), 1.1)
    assert seen.draining
    seen.see_report(make_report(6000), 1.2)
    assert seen.draining
    seen.see_report(make_report(12_000), 7)
    assert not seen.draining


def test_drain_that_ended_leaves_no_longer_hold():
    """Guards against a target kept out longer after each ordinary drain."""
    seen = Observation()
    for number in range(6):
        start_ms = number * 20_000
        seen.see_reply(make_report(start_ms + 1000, draining=True), start_ms)
        seen.see_report(make_report(start_ms + 7000), start_ms + 6)
        assert not seen.draining
        seen.see_reply(make_report(start_ms + 8000), start_ms + 7)


def test_false_report_is_believed_less_each_time():
    """Guards against steady work for a target whose reports hide a drain."""
    seen = Observation()
    now, probes = 0, 0
    while now < 300:
        if not seen.draining:
            probes += 1
            seen.see_reply(make_report(now * 1000 + 1, draining=True), now)
        now += 1
        seen.see_report(make_report(now * 1000), now)
    assert probes <= 7


def test_false_drain_report_is_refuted_by_a_later_reply():
    """Guards against a misleading report that takes a target out."""
    seen = Observation()
    seen.see_report(make_report(1000, draining=True), 0)
    assert seen.draining
    seen.see_reply(make_report(1500), 0.1)
    assert not seen.draining


def test_refuted_drain_claim_is_not_believed_again():
    """Guards against a target idled by a report that repeats a false claim."""
    seen = Observation()
    seen.see_report(make_report(1000, draining=True), 0)
    seen.see_reply(make_report(1500), 0.1)
    seen.see_report(make_report(2000, draining=True), 1)
    assert not seen.draining
    seen.see_report(make_report(3000), 2)
    seen.see_report(make_report(4000, draining=True), 3)
    assert seen.draining


def test_drain_claimed_by_a_report_can_be_refuted_in_time():
    """Guards against an idle target that a false report takes out at once."""
    seen = Observation()
    seen.see_report(make_report(1000), 0)
    seen.see_report(make_report(2000, draining=True), 1)
    assert not seen.is_draining(2.9)
    seen.see_reply(make_report(3900), 2.9)
    assert not seen.is_draining(60)


def test_drain_claimed_by_a_report_takes_effect_without_replies():
    """Guards against work for a leaving target 5 s after its drain began."""
    seen = Observation()
    seen.see_report(make_report(1000), 0)
    seen.see_report(make_report(2000, draining=True), 1)
    assert seen.is_draining(3)
    # Not observed for longer: the drain may have begun long ago.
    seen.see_report(make_report(5000), 4)
    seen.see_report(make_report(8500, draining=True), 7.5)
    assert seen.is_draining(7.5)
    unknown = Observation()
    unknown.see_report(make_report(1000, draining=True), 0)
    assert unknown.is_draining(0)


def test_refusal_confirms_a_claimed_drain_at_once():
    """Guards against further attempts while a claim is being confirmed."""
    seen = Observation()
    seen.see_report(make_report(1000), 0)
    seen.see_report(make_report(2000, draining=True), 1)
    seen.see_reply(make_report(2100, draining=True), 1.1)
    assert seen.is_draining(1.1)


def test_lagging_report_is_no_restart():
    """Guards against a drain forgotten because a report lags for long."""
    seen = Observation()
    seen.see_reply(make_report(9000, draining=True), 0)
    assert not seen.see_report(make_report(1000), 60)
    assert seen.draining


def test_restart_is_seen_by_start_id_and_by_uptime():
    """Guards against a restarted target that is taken as warm."""
    seen = Observation()
    assert not seen.see_report(make_report(90_000), 0)
    assert not seen.see_reply(make_report(90_100), 0)
    assert seen.see_reply(make_report(50), 1)
    assert seen.see_report(make_report(60, 'other'), 2)


def test_short_deadlines_do_not_keep_a_target_cold():
    """Guards against limits that fall with each impatient caller."""
    seed = random.randrange(2**32)
    print(f'seed {seed}')
    rng = random.Random(seed)
    limiter = Limiter(3, 1, cold_start=True)
    warm = 0
    for _ in range(3000):
        feed(limiter, 5)
        if rng.random() < 0.03:
            limiter.note_timeout(rng.uniform(1, 20))
        warm += not limiter.is_cold
    assert warm > 2000
