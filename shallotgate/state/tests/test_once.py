import pytest

from shallotgate.generated.messages import (
    AdvanceTime,
    RecordOutcome,
    ReleaseClaim,
)
from shallotgate.state import ANSWER_LIMIT_BYTES
from shallotgate.state.tests.builders import NOW, Driver, make_claim, make_id


def make_outcome(claim='c1', tail='1', answer=b'done', caller='tellers'):
    return RecordOutcome(
        key=make_id(tail), caller=caller, claim=claim, answer=answer, time=NOW
    )


def make_release(claim='c1', tail='1'):
    return ReleaseClaim(
        key=make_id(tail), caller='tellers', claim=claim, time=NOW
    )


@pytest.fixture(params=['plain', 'snapshot before each command'])
def driver(request):
    class Restarting(Driver):
        def apply(self, command):
            return super(Restarting, self.restart()).apply(command)

    return Driver() if request.param == 'plain' else Restarting()


def test_key_is_claimed_once(driver):
    """Guards against running a resent request a second time."""
    assert driver.apply(make_claim('c1')).status == 'claimed'
    second = driver.apply(make_claim('c2'))
    assert (second.status, second.claim) == ('in_progress', 'c1')
    # The same claim may be sent twice.
    assert driver.apply(make_claim('c1')).status == 'claimed'
    assert driver.apply(make_outcome('c2')).status == 'unknown_claim'
    assert driver.apply(make_outcome('c1')).status == 'recorded'
    # The first outcome is final.
    driver.apply(make_outcome('c1', answer=b'other'))
    for claim in ('c1', 'c2'):
        late = driver.apply(make_claim(claim))
        assert (late.status, late.answer) == ('finished', b'done')
    assert driver.apply(make_release('c1')).status == 'finished'


def test_released_key_is_claimed_again(driver):
    """Guards against refusing a key for ever after its request was not run."""
    driver.apply(make_claim('c1'))
    assert driver.apply(make_release('c1')).status == 'released'
    # A late repeat of the released claim must not take the key.
    assert driver.apply(make_claim('c1')).status == 'released'
    assert driver.apply(make_outcome('c1')).status == 'unknown_claim'
    assert driver.apply(make_claim('c2')).status == 'claimed'
    assert driver.apply(make_release('c1')).status == 'released'
    assert driver.apply(make_claim('c3')).claim == 'c2'


def test_key_is_bound_to_caller_and_content(driver):
    """Guards against returning an outcome to another caller or request."""
    driver.apply(make_claim('c1'))
    assert driver.apply(make_claim('c2', caller='x')).status == 'claimed'
    assert driver.apply(make_claim('c3', digest='e')).status == 'mismatch'
    driver.apply(make_outcome('c1'))
    assert driver.apply(make_claim('c3', digest='e')).answer is None


def test_key_past_retention_is_too_old(driver):
    """Guards against claiming a key again whose record has expired."""
    driver.apply(make_claim('c1'))
    driver.apply(AdvanceTime(time=NOW + 86401))
    assert driver.apply(make_claim('c2')).status == 'too_old'
    assert driver.apply(make_outcome('c1')).status == 'unknown_claim'
    # Time doesn't decrease if a new leader's clock is behind.
    assert driver.apply(make_claim('c2', now=NOW)).status == 'too_old'
    assert driver.state.count_once_records() == 0


def test_key_of_the_future_or_without_time_is_refused(driver):
    """Guards against keys that would never expire."""
    future = make_claim(key=make_id('1', NOW + 61))
    assert driver.apply(future).status == 'from_future'
    assert driver.apply(make_claim(key='not-a-time')).status == 'too_old'
    assert driver.state.count_once_records() == 0


def test_full_table_refuses_new_keys_only(monkeypatch):
    """Guards against evicting a key that may be resent."""
    driver = Driver()
    monkeypatch.setattr(driver.state._once._table, '_limit', 1)
    driver.apply(make_claim('c1'))
    assert driver.apply(make_claim('c2', tail='2')).status == 'table_full'
    assert driver.apply(make_claim('c3')).status == 'in_progress'


def claim_and_record(driver, number, answer):
    """Claim a key with a distinct time and record its answer."""
    key = make_id(str(number), NOW - 1000 + number)
    driver.apply(make_claim(f'c{number}', key=key))
    return driver.apply(
        RecordOutcome(
            key=key,
            caller='tellers',
            claim=f'c{number}',
            answer=answer,
            time=NOW,
        )
    )


def claim_with_new_id(driver, number):
    key = make_id(str(number), NOW - 1000 + number)
    return driver.apply(make_claim('again', key=key))


@pytest.mark.parametrize('restarted', [False, True])
def test_answer_beyond_its_bound_is_not_kept(restarted):
    """Guards against an answer that fills the memory of all members."""
    driver = Driver()
    answer = b'x' * ANSWER_LIMIT_BYTES
    assert claim_and_record(driver, 1, answer).answer == answer
    recorded = claim_and_record(driver, 2, answer + b'x')
    assert (recorded.status, recorded.answer) == ('recorded', None)
    if restarted:
        driver.restart()
    repeated = claim_with_new_id(driver, 2)
    assert (repeated.status, repeated.answer) == ('finished', None)


@pytest.mark.parametrize('restarted', [False, True])
def test_bytes_of_the_table_are_bounded(monkeypatch, restarted):
    """Guards against large answers that exceed the memory limit.

    Evicted keys must not be claimed again.
    """
    driver = Driver()
    table = driver.state._once._table
    monkeypatch.setattr(table, '_limit_bytes', 100_000)
    for number in range(10):
        claim_and_record(driver, number, b'x' * 30_000)
    assert 60_000 < table.size_bytes <= 100_000
    if restarted:
        size_bytes = table.size_bytes
        driver.restart()
        assert driver.state._once._table.size_bytes == size_bytes
    statuses = [
        claim_with_new_id(driver, number).status for number in range(10)
    ]
    assert statuses == ['too_old'] * 7 + ['finished'] * 3
    # A new key with a time as old can't be distinguished from evicted ones.
    assert claim_with_new_id(driver, 5.5).status == 'too_old'
    assert driver.apply(make_claim('new', tail='new')).status == 'claimed'


def test_bytes_of_a_table_return_to_zero():
    """Guards against wrong size accounting that fills the table over time."""
    driver = Driver()
    for number in range(5):
        claim_and_record(driver, number, b'x' * 100)
    driver.apply(make_claim('c9', tail='9'))
    driver.apply(
        ReleaseClaim(key=make_id('9'), caller='tellers', claim='c9', time=NOW)
    )
    driver.apply(make_claim('c10', tail='9'))
    assert driver.state._once._table.size_bytes > 500
    driver.apply(AdvanceTime(time=NOW + 2 * 86400))
    assert driver.state.count_once_records() == 0
    assert driver.state._once._table.size_bytes == 0
