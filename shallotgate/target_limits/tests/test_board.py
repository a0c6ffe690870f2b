"""Limits of targets, as known to the leader."""

import pytest

from shallotgate.generated.messages import ObservedReplies
from shallotgate.target_limits import LimitBoard


def observe(board, now, replies=0, **limits):
    board.record_replies(
        ObservedReplies(
            targets=['t'] if replies else [],
            replies=[replies] if replies else [],
            slowness=[0] if replies else [],
            failures=[0] if replies else [],
            limited=list(limits),
            limits=list(limits.values()),
        ),
        now,
    )


@pytest.fixture
def board():
    board = LimitBoard()
    observe(board, 0, t=10.0)
    return board


def test_excess_is_logged_once_in_a_window(board, caplog):
    """Guards against an overloaded target that no log line names."""
    for now in range(1, 4):
        observe(board, now, replies=16)
    assert not caplog.records
    for now in range(4, 6):
        observe(board, now, replies=40)
    assert [record.replies for record in caplog.records] == [88]


def test_limit_that_is_not_stated_any_more_ends(board):
    """Guards against a limit that outlives the need of its target."""
    observe(board, 1, t=-1.0)
    assert board.list_limits(2) == {}


def test_limit_of_a_target_that_is_gone_is_forgotten(board):
    """Guards against a list that grows with each target that ever was."""
    assert board.list_limits(59) == {'t': 10}
    assert board.list_limits(61) == {}
    assert not board._stated
