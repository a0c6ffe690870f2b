from shallotgate.generated.messages import (
    EndRollout,
    MarkRollout,
    ReadRollout,
    RecordVersions,
    StartRollout,
)
from shallotgate.rollouts import RolloutRecords, apply_command


def apply(records, *commands, index=10):
    outcome = None
    for number, command in enumerate(commands):
        records, outcome = apply_command(records, index + number, command)
    return records, outcome


def start(version='v2', base_order=-1, duration_s=30):
    return StartRollout(
        service='s',
        target_version=version,
        duration_s=duration_s,
        base_order=base_order,
    )


def end(order, state='completed'):
    return EndRollout(service='s', order=order, state=state)


def mark(order, elapsed_s, **changes):
    fields = {'requests': 9, 'exposed': 3, 'is_judged_good': False, **changes}
    return MarkRollout(service='s', order=order, elapsed_s=elapsed_s, **fields)


KNOWN = RolloutRecords(versions=(('s', 'v1'),))


def test_order_names_the_version_that_was_in_force_when_it_came():
    """Guards against a previous version that is read from a later list."""
    records, outcome = apply(KNOWN, start())
    assert (outcome.status, outcome.order) == ('started', 10)
    rollout = records.find('s')
    assert rollout.previous_version == 'v1'
    assert rollout.is_running


def test_repeated_order_changes_nothing_even_after_its_end():
    """Guards against a second run of an order that ended."""
    for commands in ([start()], [start(), end(10, 'rolled_back')]):
        records, _ = apply(KNOWN, *commands)
        repeated, outcome = apply(records, start(duration_s=99), index=20)
        assert outcome.status == 'repeated'
        assert repeated == records


def test_other_order_waits_for_the_end_of_the_running_one():
    records, _ = apply(KNOWN, start())
    records, outcome = apply(records, start('v3'), index=20)
    assert (outcome.status, outcome.order) == ('in_progress', 10)
    records, outcome = apply(records, end(10), start('v3'), index=30)
    assert outcome.status == 'started'
    assert records.find('s').previous_version == 'v2'


def test_order_given_before_the_newest_one_is_not_started():
    """Guards against an order that waited at a frozen member."""
    records, _ = apply(KNOWN, start(), end(10), start('v3'), end(12))
    late, outcome = apply(records, start(base_order=10), index=20)
    assert (outcome.status, outcome.order) == ('outdated', 12)
    assert late == records
    _, outcome = apply(records, start(base_order=12), index=20)
    assert outcome.status == 'started'


def test_order_that_has_ended_stays_ended():
    """Guards against a deposed leader that ends or marks an order again."""
    records, _ = apply(KNOWN, start(), end(10, 'rolled_back'))
    late, _ = apply(records, end(10), mark(10, 5), index=20)
    assert late == records
    assert late.get_version('s') == 'v1'


def test_end_and_mark_of_a_former_order_do_not_touch_the_newest():
    records, _ = apply(KNOWN, start(), end(10), start('v3'))
    late, _ = apply(records, end(10, 'rolled_back'), mark(10, 5), index=20)
    assert late == records


def test_marks_do_not_go_back():
    """Guards against exposure that a new leader takes for unused."""
    records, _ = apply(KNOWN, start(), mark(10, 5), mark(10, 4, exposed=1))
    assert records.find('s').elapsed_s == 5
    records, _ = apply(records, mark(10, 6, exposed=1))
    assert records.find('s').exposed == 3


def test_completed_version_is_in_force_and_a_rolled_back_one_is_not():
    assert apply(KNOWN, start(), end(10))[0].get_version('s') == 'v2'
    records, _ = apply(KNOWN, start(), end(10, 'rolled_back'))
    assert records.get_version('s') == 'v1'


def test_version_is_not_recorded_from_a_list_during_an_order():
    command = RecordVersions(services=['s', 't'], versions=['v2', 'v7'])
    records, _ = apply(KNOWN, start(), command)
    assert dict(records.versions) == {'s': 'v1', 't': 'v7'}


def test_order_for_the_version_in_force_has_nothing_to_move():
    records, _ = apply(KNOWN, start('v1'))
    assert records.find('s').state == 'completed'


def test_state_is_read_through_the_log():
    records, _ = apply(KNOWN, start())
    _, status = apply(records, ReadRollout(service='s'))
    assert (status.state, status.target_version) == ('running', 'v2')
    assert apply(records, ReadRollout(service='t'))[1].order == 0
