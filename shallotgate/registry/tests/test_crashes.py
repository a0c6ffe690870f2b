"""Detection of request contents that crash targets."""

from shallotgate.generated.messages import BarContent, CrashReport
from shallotgate.registry import CrashService, CrashTracker
from shallotgate.registry.tests.fakes import FakeLog, FakeMailbox
from shallotgate.transport import Delivery


def test_one_request_among_many_lost_targets_is_not_refused():
    """Guards against refusing a harmless request at targets lost together."""
    tracker = CrashTracker()
    assert tracker.record_crash('d', ['t1', 't2', 't3', 't4'], now=0) == 0
    assert tracker.record_crash('other', ['t1', 't2', 't3'], now=1) == 0


def test_two_targets_may_be_lost_by_chance():
    """Guards against refusals when the same two targets crash repeatedly."""
    tracker = CrashTracker()
    holds = [tracker.record_crash('d', ['t1', 't2'], now) for now in range(5)]
    assert holds == [0] * 5


def test_few_retries_reach_targets_in_ten_minutes():
    """Guards against a content that crashes a target on each of its retries.

    It arrives every second and crashes a target unless it is refused.
    """
    tracker = CrashTracker()
    refused_until = 0
    reached = []
    for now in range(600):
        if now < refused_until:
            continue
        reached.append(now)
        hold_s = tracker.record_crash('d', [f't{now % 5}'], now)
        refused_until = now + hold_s
    third = reached[2]
    # At most three retries may reach targets once some seconds have passed
    # since the third crash; checked over one minute, a day of the platform.
    later = [now for now in reached if third + 4 < now < third + 60]
    assert len(later) <= 3
    assert len(reached) <= 10


def test_crashes_are_forgotten():
    """Guards against refusals based on expired crash reports."""
    tracker = CrashTracker()
    tracker.record_crash('d', ['t1', 't2', 't3'], now=0)
    assert tracker.record_crash('d', ['t4'], now=700) == 0


def test_all_entries_are_told_by_a_leader_only():
    """Guards against entries that miss a crash reported by another entry."""
    mailbox, log = FakeMailbox(), FakeLog()
    CrashService(mailbox, log, lambda: ['e1', 'e2'])

    def report(*targets):
        message = CrashReport(digest='d', targets=list(targets))
        mailbox.handler(Delivery('e1', 'start', 'call', 0, message))

    log.leads = False
    report('t1', 't2', 't3')
    report('t1', 't2', 't3')
    log.leads = True
    report('t1', 't2')
    assert mailbox.sent == []
    report('t3')
    bar = BarContent(digest='d', hold_ms=15000)
    assert mailbox.sent == [('e1', bar), ('e2', bar)]
