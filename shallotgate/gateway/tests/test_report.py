"""Log lines of requests, without network."""

import logging

import pytest

from testkit.gateway import SimulatedEntry
from testkit.virtual import run_virtual


@pytest.fixture(autouse=True)
def log_level(caplog):
    caplog.set_level(logging.INFO, 'shallotgate.request')


def list_steps(record):
    return [step['step'] for step in record.steps]


def play(caplog, count, prepare=lambda entry: None, per_s=50):
    async def ask():
        entry = SimulatedEntry(shards=10)
        await entry.send_requests(20, per_s=50)
        caplog.clear()
        prepare(entry)
        await entry.send_requests(count, per_s)

    run_virtual(ask())
    return [one for one in caplog.records if hasattr(one, 'request_id')]


def test_partial_answer_is_logged_with_the_missing_shard(caplog):
    """Guards against partial answers that are not logged."""

    def prepare(entry):
        for target in entry.targets['s3']:
            target.service_time_s = 10

    (record,) = play(caplog, 1, prepare)
    assert record.status == 200
    assert list_steps(record)[-1] == 'partial'
    sent = [step for step in record.steps if step['step'].startswith('sent')]
    assert [one['service'] for one in sent].count('s3') == 2
    assert {'queue', 'factor', 'target'} <= set(sent[0])


def test_good_requests_are_a_sample(caplog):
    """Guards against a log volume proportional to the load."""
    assert len(play(caplog, 400)) == 2


def test_lines_a_second_are_bounded_and_the_rest_is_counted(caplog):
    """Guards against log floods while a service is down."""

    def prepare(entry):
        for target in entry.list_all_targets():
            target.is_up = False

    records = play(caplog, 1000, prepare, per_s=500)
    assert len(records) <= 3 * 50
    assert sum(record.left_out for record in records) > 400


@pytest.mark.parametrize(('every', 'is_whole'), [(2, True), (1, False)])
def test_decisions_of_a_wide_fan_out_are_logged_or_counted(
    caplog, every, is_whole
):
    """Guards against truncated decisions of failed requests."""

    async def ask():
        entry = SimulatedEntry(shards=40, slack=1000, objective_ms=1)
        for number, targets in enumerate(entry.targets.values()):
            for target in targets:
                target.is_not_run = number % every == 0
        await entry.send_request('q')

    run_virtual(ask())
    (record,) = [one for one in caplog.records if hasattr(one, 'request_id')]
    assert list_steps(record).count('sent') == 40
    assert len(record.steps) > 64
    assert (record.steps_left_out == 0) == is_whole
