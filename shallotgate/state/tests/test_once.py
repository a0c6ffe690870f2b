import pytest

from shallotgate.generated.messages import (
    AdvanceTime,
    RecordOutcome,
    ReleaseClaim,
)
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
    """Guards against a second run of a request that was sent again."""
    assert driver.apply(make_claim('c1')).status == 'claimed'
    second = driver.apply(make_claim('c2'))
    assert (second.status, second.claim) == ('in_progress', 'c1')
    # The command itself may be sent twice.
    assert driver.apply(make_claim('c1')).status == 'claimed'
    assert driver.apply(make_outcome('c2')).status == 'unknown_claim'
    assert driver.apply(make_outcome('c1')).status == 'recorded'
    # The first outcome stays.
    driver.apply(make_outcome('c1', answer=b'other'))
    for claim in ('c1', 'c2'):
        late = driver.apply(make_claim(claim))
        assert (late.status, late.answer) == ('finished', b'done')
    assert driver.apply(make_release('c1')).status == 'finished'


def test_released_key_is_claimed_again(driver):
    """Guards against a refusal for ever after a claim that was not run."""
    driver.apply(make_claim('c1'))
    assert driver.apply(make_release('c1')).status == 'released'
    # A late repeat of the released claim must not take the key.
    assert driver.apply(make_claim('c1')).status == 'released'
    assert driver.apply(make_outcome('c1')).status == 'unknown_claim'
    assert driver.apply(make_claim('c2')).status == 'claimed'
    assert driver.apply(make_release('c1')).status == 'released'
    assert driver.apply(make_claim('c3')).claim == 'c2'


def test_key_is_bound_to_caller_and_content(driver):
    """Guards against handing one caller's outcome to another request."""
    driver.apply(make_claim('c1'))
    assert driver.apply(make_claim('c2', caller='x')).status == 'claimed'
    assert driver.apply(make_claim('c3', digest='e')).status == 'mismatch'
    driver.apply(make_outcome('c1'))
    assert driver.apply(make_claim('c3', digest='e')).answer is None


def test_key_past_retention_is_too_old(driver):
    """Guards against claiming a key again whose record was dropped."""
    driver.apply(make_claim('c1'))
    driver.apply(AdvanceTime(time=NOW + 86401))
    assert driver.apply(make_claim('c2')).status == 'too_old'
    assert driver.apply(make_outcome('c1')).status == 'unknown_claim'
    # Time does not go back with a leader whose clock is late.
    assert driver.apply(make_claim('c2', now=NOW)).status == 'too_old'
    assert driver.state.count_once_records() == 0


def test_key_of_the_future_or_without_time_is_refused(driver):
    """Guards against keys that would outlive the retention."""
    future = make_claim(key=make_id('1', NOW + 61))
    assert driver.apply(future).status == 'from_future'
    assert driver.apply(make_claim(key='not-a-time')).status == 'too_old'
    assert driver.state.count_once_records() == 0


def test_full_table_refuses_new_keys_only(monkeypatch):
    """Guards against dropping a key that may be sent again."""
    driver = Driver()
    monkeypatch.setattr(driver.state._once._table, '_limit', 1)
    driver.apply(make_claim('c1'))
    assert driver.apply(make_claim('c2', tail='2')).status == 'table_full'
    assert driver.apply(make_claim('c3')).status == 'in_progress'
