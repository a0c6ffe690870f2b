import random

from shallotgate.gateway import Directory
from shallotgate.generated.messages import (
    ListedTarget,
    ListingUpdate,
    ObservedReplies,
)
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


def test_entries_are_told_at_once_of_severe_changes_only():
    """Guards against a message to every entry for each pause of a target.

    Some targets pause at any time in a large tier, and a pause is over before
    entries could avoid it.
    """
    tracker = ConditionTracker(7)
    observe(tracker, 'paused', 12, 18)
    assert not tracker.publish(NOW)
    assert tracker.revision == 7
    observe(tracker, 'paused', 3, 11.8)
    assert not tracker.publish(NOW)
    assert tracker.revision == 8
    assert not tracker.is_urgent(7)
    assert tracker.make_update(7).targets == ['paused']
    observe(tracker, 'slow', 5, 40)
    assert tracker.publish(NOW + 0.2)
    assert tracker.is_urgent(8)
    assert not tracker.is_urgent(9)
    # It stays severe: there is nothing to tell at once.
    observe(tracker, 'slow', 5, 80, now=NOW + 0.4)
    assert not tracker.publish(NOW + 0.4)


def test_follower_of_another_leader_is_told_at_once():
    """Guards against conditions of a former leader that are kept."""
    assert ConditionTracker(7).is_urgent(90)
    assert ConditionTracker(7).is_urgent(-1)


def test_entries_are_told_at_once_if_many_targets_degrade():
    """Guards against a slow start of many targets that is told late."""
    tracker = ConditionTracker(7)
    for number in range(5):
        observe(tracker, f't{number}', 8, 16)
    assert tracker.publish(NOW)
    assert tracker.is_urgent(7)


def make_directory(count):
    directory = Directory()
    targets = [
        ListedTarget(target=f't{number}', service='s', address='a', domain='d')
        for number in range(count)
    ]
    directory.update(
        ListingUpdate(source='x', revision=1, full=True, targets=targets)
    )
    return directory


def list_shared(directory):
    return {
        target.listed.target: target.health.estimate_condition(0)
        for target in directory.list_degraded()
    }


def test_differences_amount_to_the_complete_conditions():
    """Guards against entries whose conditions drift from those of the leader.

    Some followers ask after each publication and some rarely, one of them so
    rarely that the leader has dropped what it knows.
    """
    generator = random.Random(4)
    tracker = ConditionTracker(7)
    complete = make_directory(30)
    followers = {period: make_directory(30) for period in (1, 2, 7, 150)}
    sizes = []
    for step in range(600):
        now = NOW + step * 0.2
        for _ in range(4):
            target = f't{generator.randrange(30)}'
            slowness = generator.choice([1, 1, 8])
            observe(tracker, target, 4, 4 * slowness, now=now)
        tracker.publish(now)
        for period, directory in followers.items():
            if step % period == 0:
                update = tracker.make_update(
                    directory.conditions_revision, merges=True
                )
                directory.apply_conditions(update)
                complete.apply_conditions(tracker.make_update(-1))
                assert list_shared(directory) == list_shared(complete)
                if update and period == 1:
                    sizes.append(
                        len(update.targets) / len(list_shared(complete))
                    )
    assert sum(sizes) / len(sizes) < 0.5


def test_difference_from_other_conditions_is_ignored():
    """Guards against a reply that arrives after a newer one."""
    tracker = ConditionTracker(7)
    directory = make_directory(3)
    observe(tracker, 't0', 5, 40)
    tracker.publish(NOW)
    directory.apply_conditions(tracker.make_update(-1, merges=True))
    observe(tracker, 't1', 5, 40, now=NOW + 1)
    tracker.publish(NOW + 1)
    late = tracker.make_update(8, merges=True)
    observe(tracker, 't2', 5, 40, now=NOW + 2)
    tracker.publish(NOW + 2)
    directory.apply_conditions(tracker.make_update(8, merges=True))
    held = list_shared(directory)
    directory.apply_conditions(late)
    assert list_shared(directory) == held
    assert directory.conditions_revision == 10


def test_conditions_of_a_former_leadership_are_forgotten():
    """Guards against judging targets by what another leader has refuted."""
    tracker = ConditionTracker(100)
    observe(tracker, 't1', 10, 50)
    assert 't1' in read(tracker)
    known = tracker.revision
    tracker.reset()
    update = tracker.make_update(known, merges=True)
    assert (update.base_revision, update.targets) == (-1, [])
    assert tracker.is_urgent(known)


def test_slowness_of_a_target_in_a_ramp_is_no_condition():
    """Guards against a cold target that is avoided and so stays cold."""
    observed = ObservedReplies(
        targets=['t1'], replies=[9], slowness=[36], failures=[0]
    )
    tracker = ConditionTracker(0)
    tracker.record_replies(observed, 1, paced=('t1',))
    tracker.publish(2)
    assert tracker.make_update(-1).targets == []
    tracker.record_replies(observed, 3)
    tracker.publish(4)
    assert tracker.make_update(-1).targets == ['t1']
