from dataclasses import replace

import pytest

from shallotgate.generated.messages import AttemptReply, TargetState
from shallotgate.targets._reports import (
    FULL_REPORT_PERIOD_S,
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


class FakeTransport:
    """Records the messages of a subscriber; rejects them while full."""

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
def transport():
    return FakeTransport()


def test_unchanged_states_are_sent_once(transport):
    """Guards against reports that grow with the number of targets."""
    first = transport.report(STATE, OTHER)
    assert (first.full, list(first.states)) == (True, [STATE, OTHER])
    second = transport.report(STATE, OTHER)
    assert (second.full, list(second.states)) == (False, [])
    draining = replace(OTHER, draining=True)
    third = transport.report(STATE, draining)
    assert list(third.states) == [draining]
    assert [message.sequence for message in transport.sent] == [1, 2, 3]


def test_moved_target_is_listed_as_removed(transport):
    """Guards against an entry that uses the state of a former owner."""
    transport.report(STATE, OTHER)
    assert list(transport.report(STATE).removed) == ['u']
    assert not transport.report(STATE).removed


def test_state_in_a_reply_counts_as_sent(transport):
    """Guards against an entry that keeps an outdated state of a reply."""
    transport.report(STATE)
    transport.reply(replace(STATE, in_flight=2))
    assert list(transport.report(STATE).states) == [STATE]
    transport.reply(replace(STATE, in_flight=3))
    assert not transport.report(replace(STATE, in_flight=3)).states


def test_reply_before_the_first_report_of_a_target(transport):
    """Guards against a target that is in no report."""
    transport.report(STATE)
    transport.reply(OTHER)
    assert list(transport.report(STATE, OTHER).states) == [OTHER]


def test_rejected_reply_does_not_count_as_sent(transport):
    """Guards against a change that was only in a dropped reply."""
    transport.report(STATE)
    transport.is_full = True
    transport.reply(replace(STATE, in_flight=2))
    transport.is_full = False
    assert transport.report(replace(STATE, in_flight=2)).states


def test_rejected_report_is_followed_by_a_full_one(transport):
    """Guards against changes that were only in a dropped report."""
    transport.report(STATE)
    transport.is_full = True
    transport.report(replace(STATE, limit=2))
    transport.is_full = False
    report = transport.report(replace(STATE, limit=2))
    assert (report.full, report.sequence, len(report.states)) == (True, 3, 1)


def test_full_report_on_request_and_periodically(transport):
    """Guards against states that stay wrong after a lost message."""
    transport.report(STATE)
    assert not transport.report(STATE).full
    transport.log.request_full_report()
    assert transport.report(STATE).full
    assert not transport.report(STATE).full
    transport.now += FULL_REPORT_PERIOD_S
    assert transport.report(STATE).full


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
def test_small_changes_of_moving_averages_are_not_sent(change, expected):
    """Guards against a message for each change of a moving average."""
    assert is_changed(STATE, replace(STATE, **change)) is expected
