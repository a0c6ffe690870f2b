from shallotgate.generated.messages import ObservedReplies
from shallotgate.registry import ConditionTracker

NOW = 1000.0


def observe(tracker, target, replies, slowness, failures=0, now=NOW):
    observed = ObservedReplies(
        targets=[target],
        replies=[replies],
        slowness=[slowness],
        failures=[failures],
    )
    tracker.record_replies(observed, now)


def read(tracker, now=NOW):
    tracker.publish(now)
    update = tracker.make_update(-1)
    return {
        target: (factor, failures)
        for target, factor, failures in zip(
            update.targets,
            update.factors,
            update.failures,
            strict=True,
        )
    }


def test_slow_target_is_published_after_several_slow_replies():
    """Guards against a condition based on a single reply."""
    tracker = ConditionTracker(0)
    observe(tracker, 't1', 1, 8)
    assert read(tracker) == {}
    for _ in range(3):
        observe(tracker, 't1', 1, 8)
    observe(tracker, 't2', 4, 4.5)
    factor, failures = read(tracker)['t1']
    assert factor > 4
    assert failures == 0
    assert set(read(tracker)) == {'t1'}


def test_failing_target_is_published():
    """Guards against a target that fails half of its attempts undetected."""
    tracker = ConditionTracker(0)
    observe(tracker, 't1', 10, 5, failures=5)
    factor, failures = read(tracker)['t1']
    assert factor == 1
    assert 0.3 < failures < 0.5


def test_good_replies_end_a_condition():
    """Guards against a recovered target that is still reported as slow."""
    tracker = ConditionTracker(0)
    observe(tracker, 't1', 5, 40)
    assert read(tracker)
    observe(tracker, 't1', 20, 20, now=NOW + 1.5)
    assert read(tracker, NOW + 1.5) == {}


def test_condition_without_new_replies_ends():
    """Guards against a degraded target that is never probed."""
    tracker = ConditionTracker(0)
    observe(tracker, 't1', 5, 40)
    assert read(tracker, NOW + 1)
    assert read(tracker, NOW + 5) == {}


def test_revision_rises_with_changes_only_and_not_too_often():
    """Guards against one message to every entry per reply."""
    tracker = ConditionTracker(7)
    observe(tracker, 't1', 5, 40)
    assert tracker.publish(NOW)
    assert tracker.revision == 8
    assert tracker.make_update(8) is None
    observe(tracker, 't2', 5, 40)
    assert not tracker.publish(NOW + 0.1)
    assert tracker.publish(NOW + 0.5)
    assert not tracker.publish(NOW + 1)
