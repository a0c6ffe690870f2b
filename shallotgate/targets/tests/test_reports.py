from dataclasses import replace

import pytest

from shallotgate.generated.messages import AttemptReply, TargetState
from shallotgate.targets._reports import (
    FULL_PERIOD_S,
    ReportSubscriber,
    is_changed,
)

STATE = TargetState(
    target='t',
    epoch=1,
    limit=3,
    in_flight=0,
    queued=0,
    queue_ms=0.0,
    latency_ms=10.0,
    cold=False,
    draining=False,
    lost=False,
)
OTHER = replace(STATE, target='u')


class Link:
    """Takes messages of a log; a full queue takes none."""

    def __init__(self):
        self.sent = []
        self.is_full = False
        self.log = ReportSubscriber('start', self.send)
        self.now = 1000.0

    def send(self, message):
        if not self.is_full:
            self.sent.append(message)
        return not self.is_full

    def report(self, *states):
        self.now += 1
        self.log.send_report(states, self.now)
        return self.sent[-1]

    def reply(self, state):
        reply = AttemptReply(attempt_id='a', status='ok', state=state)
        self.log.send_reply(reply, state)


@pytest.fixture
def link():
    return Link()


def test_unchanged_states_are_sent_once(link):
    """Guards against reports that grow with the targets, not the changes."""
    first = link.report(STATE, OTHER)
    assert (first.full, list(first.states)) == (True, [STATE, OTHER])
    second = link.report(STATE, OTHER)
    assert (second.full, list(second.states)) == (False, [])
    draining = replace(OTHER, draining=True)
    third = link.report(STATE, draining)
    assert list(third.states) == [draining]
    assert [one.sequence for one in link.sent] == [1, 2, 3]


def test_target_that_moved_away_is_named(link):
    """Guards against an entry that trusts a former owner's state."""
    link.report(STATE, OTHER)
    assert list(link.report(STATE).removed) == ['u']
    assert not link.report(STATE).removed


def test_state_in_a_reply_counts_as_told(link):
    """Guards against a load that an entry keeps from an old reply."""
    link.report(STATE)
    link.reply(replace(STATE, in_flight=2))
    assert list(link.report(STATE).states) == [STATE]
    link.reply(replace(STATE, in_flight=3))
    assert not link.report(replace(STATE, in_flight=3)).states


def test_reply_before_the_first_report_of_a_target(link):
    """Guards against a target that no report ever names."""
    link.report(STATE)
    link.reply(OTHER)
    assert list(link.report(STATE, OTHER).states) == [OTHER]


def test_reply_that_was_not_taken_is_not_told(link):
    """Guards against a change that was only in a dropped reply."""
    link.report(STATE)
    link.is_full = True
    link.reply(replace(STATE, in_flight=2))
    link.is_full = False
    assert link.report(replace(STATE, in_flight=2)).states


def test_report_that_was_not_taken_is_followed_by_a_full_one(link):
    """Guards against changes that were only in a dropped report."""
    link.report(STATE)
    link.is_full = True
    link.report(replace(STATE, limit=2))
    link.is_full = False
    report = link.report(replace(STATE, limit=2))
    assert (report.full, report.sequence, len(report.states)) == (True, 3, 1)


def test_full_report_on_request_and_rarely(link):
    """Guards against a lost message that is never repaired."""
    link.report(STATE)
    assert not link.report(STATE).full
    link.log.ask_full()
    assert link.report(STATE).full
    assert not link.report(STATE).full
    link.now += FULL_PERIOD_S
    assert link.report(STATE).full


@pytest.mark.parametrize(
    ('change', 'expected'),
    [
        ({'latency_ms': 10.9}, False),
        ({'latency_ms': 12.0}, True),
        ({'queue_ms': 0.4}, False),
        ({'queue_ms': 5.0}, True),
        ({'in_flight': 1}, True),
        ({'epoch': 2}, True),
        ({'lost': True}, True),
    ],
)
def test_small_moves_of_smoothed_times_are_no_changes(change, expected):
    """Guards against a message for each moved average."""
    assert is_changed(STATE, replace(STATE, **change)) is expected
