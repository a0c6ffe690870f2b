import pytest

from shallotgate.generated.messages import (
    AdvanceTime,
    GrantOwners,
    GrantTrial,
    JudgeTrial,
    LiftQuarantine,
    MoveOwners,
    Owner,
    OwnerGrant,
    OwnerMove,
    ReportSuspects,
)
from shallotgate.state.tests.builders import NOW, Driver

FIRST = Owner(instance='e1', start_id='s1')
SECOND = Owner(instance='e2', start_id='s2')


@pytest.fixture
def driver():
    return Driver()


def make_grant(epoch, owner=FIRST, target='t'):
    grant = OwnerGrant(target=target, epoch=epoch, owner=owner)
    return GrantOwners(grants=[grant], time=NOW)


def make_move(epoch):
    return MoveOwners(moves=[OwnerMove(target='t', epoch=epoch)], time=NOW)


def test_grant_follows_a_move(driver):
    """Guards against two owners of one target at the same time."""
    assert driver.apply(make_grant(0)).changed
    assert not driver.apply(make_grant(0, SECOND)).changed
    assert not driver.apply(make_grant(1, SECOND)).changed
    assert driver.apply(make_move(1)).changed
    assert not driver.apply(make_move(1)).changed
    assert not driver.apply(make_grant(1, SECOND)).changed
    assert driver.apply(make_grant(2, SECOND)).changed
    owned = driver.state.read().ownership['t']
    assert (owned.instance, owned.epoch, owned.state) == ('e2', 3, 'held')
    assert driver.state.read().versions.ownership == 3


def test_epochs_never_repeat(driver):
    """Guards against a former owner whose epoch becomes current again."""
    driver.apply(make_grant(0))
    driver.apply(make_move(1))
    nobody = Owner(instance='', start_id='')
    assert driver.apply(make_grant(2, nobody)).changed
    assert driver.state.read().ownership == {}
    driver.restart().apply(make_grant(0, SECOND))
    assert driver.state.read().ownership['t'].epoch > 2


def report(target, *digests, start='s', now=NOW, domain='', proven=()):
    return ReportSuspects(
        target=target,
        target_start_id=start,
        digests=digests,
        proven=proven,
        domain=domain,
        time=now,
    )


def grant_trial(holder='h1', target='t2'):
    return GrantTrial(digest='d', target=target, holder=holder, time=NOW)


def judge(lost, holder='h1', *, unused=False):
    return JudgeTrial(
        digest='d', holder=holder, lost=lost, unused=unused, time=NOW
    )


def lift():
    return LiftQuarantine(digest='d', operator='ada', reason='r', time=NOW)


def get_status(driver, digest='d'):
    found = driver.state.read().quarantine.get(digest)
    return found and found.status


def test_second_loss_quarantines_at_once(driver):
    """Guards against a request that costs a third target."""
    driver.apply(report('t1', 'd'))
    # A repeated report of the same loss doesn't count.
    assert not driver.apply(report('t1', 'd')).changed
    assert get_status(driver) == 'suspect'
    driver.restart().apply(report('t1', 'd', start='s2'))
    assert get_status(driver) == 'quarantined'
    assert not driver.apply(grant_trial()).changed


@pytest.mark.parametrize('lost', [True, False])
def test_one_trial_ever(driver, lost):
    """Guards against more than one trial of a suspect."""
    assert not driver.apply(grant_trial()).changed
    driver.apply(report('t1', 'd'))
    assert driver.apply(grant_trial()).changed
    # The holder may repeat its command; another holder gets no trial.
    assert driver.apply(grant_trial()).changed
    assert not driver.apply(grant_trial('h2')).changed
    assert not driver.apply(judge(lost, 'h2')).changed
    assert driver.restart().apply(judge(lost)).changed
    assert get_status(driver) == ('quarantined' if lost else 'cleared')
    assert not driver.apply(judge(not lost)).changed
    assert not driver.apply(grant_trial('h3')).changed
    driver.apply(report('t3', 'd'))
    assert get_status(driver) == 'quarantined'


def test_trial_that_was_not_run_gives_way_to_another(driver):
    """Guards against a suspect that is refused forever.

    The query that held its trial may have run out of time before it began.
    """
    driver.apply(report('t1', 'd'))
    driver.apply(grant_trial())
    assert not driver.apply(judge(False, 'h2', unused=True)).changed
    assert driver.restart().apply(judge(False, unused=True)).changed
    assert get_status(driver) == 'suspect'
    assert driver.restart().apply(grant_trial('h2')).changed
    # The former holder no longer decides anything.
    assert not driver.apply(judge(False)).changed
    assert driver.apply(judge(True, 'h2')).changed
    assert get_status(driver) == 'quarantined'


def report_domain(driver, domain, *targets, proven=('d',)):
    for name in targets:
        driver.apply(report(name, 'd', domain=domain, proven=proven))


@pytest.mark.parametrize('lost', [True, False])
def test_crash_of_a_domain_does_not_quarantine_proven_content(driver, lost):
    """Guards against quarantining proven content when a domain fails."""
    report_domain(driver, 'a', 't1', 't2', 't3')
    assert get_status(driver) == 'suspect'
    # An entry that hadn't proven the content yet was screening it there.
    report_domain(driver, 'a', 't4', proven=())
    assert get_status(driver) == 'suspect'
    assert driver.restart().apply(grant_trial(target='t5')).changed
    report_domain(driver, 'a', 't6')
    assert get_status(driver) == 'trial'
    driver.apply(judge(lost))
    assert get_status(driver) == ('quarantined' if lost else 'cleared')


def test_proven_content_has_a_trial_after_each_crash(driver):
    """Guards against refusing proven content for ever after a second failure.

    Proven content gets another trial each time that it is cleared.
    """
    report_domain(driver, 'a', 't1', 't2')
    driver.apply(grant_trial())
    driver.apply(judge(lost=False))
    # Repeated reports of losses before the trial change nothing.
    report_domain(driver.restart(), 'a', 't1', 't2')
    assert get_status(driver) == 'cleared'
    report_domain(driver, 'b', 't3', 't4')
    assert get_status(driver) == 'suspect'
    assert driver.apply(grant_trial('h2')).changed
    assert driver.apply(judge(lost=True, holder='h2')).changed
    assert get_status(driver) == 'quarantined'


def test_retry_lost_in_another_domain_quarantines(driver):
    """Guards against a third target lost to content that crashes only some
    partitions. Its retry after a loss is reported as unproven."""
    report_domain(driver, 'a', 't1')
    report_domain(driver, 'b', 't2', proven=())
    assert get_status(driver) == 'quarantined'


def test_loss_elsewhere_ends_a_trial(driver):
    """Guards against clearing a digest that cost a second target meanwhile."""
    driver.apply(report('t1', 'd'))
    driver.apply(grant_trial())
    driver.apply(report('t3', 'd'))
    assert get_status(driver) == 'quarantined'
    assert not driver.apply(judge(lost=False)).changed


def test_lifted_digest_starts_afresh(driver):
    """Guards against a late report that undoes the lift of a quarantine."""
    driver.apply(report('t1', 'd'))
    driver.apply(report('t2', 'd'))
    assert driver.apply(lift()).changed
    assert not driver.apply(lift()).changed
    driver.apply(report('t2', 'd'))
    assert get_status(driver) == 'cleared'
    driver.apply(report('t3', 'd'))
    assert get_status(driver) == 'suspect'
    assert driver.apply(grant_trial()).changed


def test_only_quarantined_digests_are_kept_after_a_day(driver):
    """Guards against unbounded growth, and against dropping a quarantine."""
    driver.apply(report('t1', 'd', 'e'))
    driver.apply(report('t2', 'd'))
    driver.apply(AdvanceTime(time=NOW + 86401))
    assert get_status(driver) == 'quarantined'
    assert get_status(driver, 'e') is None


def test_full_table_keeps_quarantined_digests(driver, monkeypatch):
    """Guards against a flood of suspects that evicts a quarantined digest."""
    module = 'shallotgate.state._quarantine.DIGEST_LIMIT'
    monkeypatch.setattr(module, 3)
    driver.apply(report('t1', 'd'))
    driver.apply(report('t2', 'd'))
    driver.apply(report('t3', *'efgh'))
    assert set(driver.state.read().quarantine) == set('dgh')
