"""Detection of request contents that crash targets."""

import time

from shallotgate.codec import encode_tagged
from shallotgate.generated.messages import (
    AskContentTrial,
    BarContent,
    ContentSurvived,
    ContentTrial,
    CrashRecorded,
    CrashReport,
    StoreContents,
)
from shallotgate.registry import CrashService, CrashTracker
from shallotgate.registry.tests.fakes import FakeLog, FakeMailbox, FakeStore
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
    # since the third crash.
    later = [now for now in reached if now > third + 4]
    assert len(later) <= 3
    assert len(reached) <= 6


def test_crashes_are_forgotten():
    """Guards against refusals based on expired crash reports."""
    tracker = CrashTracker()
    tracker.record_crash('d', ['t1', 't2', 't3'], now=0)
    assert tracker.record_crash('d', ['t4'], now=700) == 0


def test_all_entries_are_told_by_a_leader_only():
    """Guards against entries that miss a crash reported by another entry."""
    mailbox, log = FakeMailbox(), FakeLog()
    CrashService(mailbox, log, lambda: ['e1', 'e2'], FakeStore())

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


def make_service(*entries, log=None, store=None):
    mailbox = FakeMailbox()
    log = log or FakeLog()
    log.leads = True
    service = CrashService(mailbox, log, lambda: entries, store or FakeStore())

    def deliver(message, sender='e1'):
        mailbox.sent.clear()
        mailbox.handler(Delivery(sender, 'start', 'call', 0, message))
        return list(mailbox.sent)

    return service, mailbox, deliver


def test_one_entry_at_a_time_tries_a_content():
    """Guards against several entries that try it at the same moment."""
    _, _, deliver = make_service('e1', 'e2')
    sent = deliver(AskContentTrial(digest='d', trials=0))
    bar = BarContent(digest='d', hold_ms=9999, trials=1)
    assert {name for name, message in sent[:2]} == {'e1', 'e2'}
    assert all(message.hold_ms > 9000 for _, message in sent[:2])
    assert isinstance(sent[2][1], ContentTrial)
    assert sent[2][1].granted
    assert bar.trials == sent[0][1].trials
    ((name, answer),) = deliver(AskContentTrial(digest='d', trials=0), 'e2')
    assert (name, answer.granted, answer.trials) == ('e2', False, 1)


def test_new_leader_counts_the_trials_of_a_former_one():
    """Guards against further trials after each change of the leader."""
    _, _, deliver = make_service('e1')
    ((_, answer),) = deliver(AskContentTrial(digest='d', trials=3))
    assert not answer.granted
    assert answer.hold_ms > 3_000_000


def test_survival_is_told_to_all():
    _, _, deliver = make_service('e1', 'e2')
    deliver(AskContentTrial(digest='d', trials=0))
    sent = deliver(ContentSurvived(digest='d'))
    ended = BarContent(digest='d', hold_ms=0)
    assert sent == [('e1', ended), ('e2', ended)]


def test_entry_that_starts_is_told_what_is_refused():
    """Guards against an entry that lets a content through after its start."""
    service, _, deliver = make_service('e1')
    deliver(CrashReport(digest='d', targets=['t1', 't2']))
    deliver(CrashReport(digest='d', targets=['t3']))
    update = service.make_update(-1)
    (bar,) = update.contents
    assert bar.digest == 'd'
    assert bar.hold_ms > 14_000
    assert service.make_update(update.revision) is None


def test_refusal_that_another_leader_has_ended_is_not_told():
    """Guards against refusing what another leader has accepted since."""
    log, store = FakeLog(), FakeStore()
    service, _, deliver = make_service('e1', log=log, store=store)
    deliver(CrashReport(digest='d', targets=['t1', 't2']))
    deliver(CrashReport(digest='d', targets=['t3']))
    revision = service.make_update(-1).revision
    log.term = 3
    store.contents.clear()
    update = service.make_update(revision)
    assert update.contents == []


def test_crashes_and_trials_count_after_all_processes_have_ended():
    """Guards against further retries after a restart of all processes.

    Reports come twice, as their confirmation is lost; each counts once.
    """
    store = FakeStore()
    for number in range(3):
        _, _, deliver = make_service('e1', store=store)
        report = CrashReport(
            digest='d', targets=[f't{number}'], report=f'{number}'
        )
        assert deliver(report)[-1] == ('e1', CrashRecorded(report=str(number)))
        deliver(report)
    assert store.contents['d'].requests == 3
    for trials in (1, 2, 3):
        service, _, deliver = make_service('e1', store=store)
        # A new leader lets nothing through until its refusal has ended.
        (bar,) = service.make_update(-1).contents
        assert (bar.trials, bar.hold_ms > 14_000) == (trials - 1, True)
        assert not deliver(AskContentTrial(digest='d', trials=0))[-1][1].granted
        expire(service)
        assert deliver(AskContentTrial(digest='d', trials=0))[-1][1].granted
    service, _, deliver = make_service('e1', store=store)
    expire(service)
    assert not deliver(AskContentTrial(digest='d', trials=0))[-1][1].granted


def expire(service):
    """End the refusals of a service, as if their time had passed."""
    for record in service._tracker._records.values():
        record.refused_until = time.monotonic() - 1


def test_trial_that_a_later_leader_would_not_count_is_not_granted():
    """Guards against a trial that is known to one process only."""
    store = FakeStore()
    store.is_failing = True
    _, _, deliver = make_service('e1', store=store)
    ((_, answer),) = deliver(AskContentTrial(digest='d', trials=0))
    assert not answer.granted
    assert deliver(CrashReport(digest='e', targets=['t1'], report='r')) == []


def test_number_of_contents_is_bounded():
    """Guards against a state that grows with each request that is lost.

    What is refused stays.
    """
    store = FakeStore()
    _, _, deliver = make_service('e1', store=store)
    for target in ('t1', 't2', 't3'):
        deliver(CrashReport(digest='refused', targets=[target]))
    for number in range(1000):
        deliver(CrashReport(digest=f'd{number}', targets=['t1']))
    assert len(store.contents) <= 512
    assert store.contents['refused'].refused
    assert (
        len(
            encode_tagged(
                StoreContents(contents=list(store.read()), forgotten=[])
            )
        )
        < 100_000
    )


def test_content_that_an_operator_allows_is_accepted_by_all():
    """Guards against a refusal by mistake that nobody can end."""
    store = FakeStore()
    service, mailbox, deliver = make_service('e1', store=store)
    deliver(CrashReport(digest='d', targets=['t1', 't2']))
    deliver(CrashReport(digest='d', targets=['t3']))
    revision = service.make_update(-1).revision
    store.contents.pop('d')
    mailbox.sent.clear()
    assert service.make_update(revision).contents == []
    assert mailbox.sent == [('e1', BarContent(digest='d', hold_ms=0))]
    assert deliver(CrashReport(digest='d', targets=['t1', 't2', 't3'])) == []
