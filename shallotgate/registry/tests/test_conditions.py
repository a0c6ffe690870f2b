from shallotgate.generated.messages import ObservedReplies
from shallotgate.registry import ConditionBoard

NOW = 1000.0


def observe(board, target, replies, slowness, failures=0, now=NOW):
    observed = ObservedReplies(
        targets=[target],
        replies=[replies],
        slowness=[slowness],
        failures=[failures],
    )
    board.take(observed, now)


def read(board, now=NOW):
    board.publish(now)
    update = board.make_update(-1)
    return {
        target: (factor, failures)
        for target, factor, failures in zip(
            update.targets,
            update.factors,
            update.failures,
            strict=True,
        )
    }


def test_slow_target_is_told_once_several_replies_show_it():
    """Guards against a condition that stands on a single reply."""
    board = ConditionBoard(0)
    observe(board, 't1', 1, 8)
    assert read(board) == {}
    for _ in range(3):
        observe(board, 't1', 1, 8)
    observe(board, 't2', 4, 4.5)
    factor, failures = read(board)['t1']
    assert factor > 4
    assert failures == 0
    assert set(read(board)) == {'t1'}


def test_failing_target_is_told():
    """Guards against targets that refuse half of the work unnoticed."""
    board = ConditionBoard(0)
    observe(board, 't1', 10, 5, failures=5)
    factor, failures = read(board)['t1']
    assert factor == 1
    assert 0.3 < failures < 0.5


def test_good_replies_end_a_condition():
    """Guards against a target that stays slow in the books."""
    board = ConditionBoard(0)
    observe(board, 't1', 5, 40)
    assert read(board)
    observe(board, 't1', 20, 20, now=NOW + 1.5)
    assert read(board, NOW + 1.5) == {}


def test_condition_without_new_replies_ends():
    """Guards against a target that nobody tries again."""
    board = ConditionBoard(0)
    observe(board, 't1', 5, 40)
    assert read(board, NOW + 1)
    assert read(board, NOW + 5) == {}


def test_revision_rises_with_changes_only_and_not_too_often():
    """Guards against a message to each entry for each reply."""
    board = ConditionBoard(7)
    observe(board, 't1', 5, 40)
    assert board.publish(NOW)
    assert board.revision == 8
    assert board.make_update(8) is None
    observe(board, 't2', 5, 40)
    assert not board.publish(NOW + 0.1)
    assert board.publish(NOW + 0.5)
    assert not board.publish(NOW + 1)
