from collections import Counter

import pytest

from testkit.soak._checks import (
    check_changes,
    check_counters,
    check_exchanges,
    check_keys,
    check_versions,
)
from testkit.soak._records import Exchange, Journal, Outage, SentChange
from testkit.standin import make_matches

QUERY = {'item': 3}


def make_answer(**changes):
    matches = [*make_matches(QUERY, 4, 0), *make_matches(QUERY, 4, 1)]
    answer = {
        'request_id': 'r1',
        'outcome': 'complete',
        'snapshot': 4,
        'shards': {'asked': 2, 'answered': 2, 'missing': []},
        'matches': matches,
    }
    return answer | changes


def make_exchange(answer, key=''):
    return Exchange('a-1', 10, 11, {'query': QUERY, 'key': key}, answer)


def list_faults(*exchanges, **parts):
    for name in ('ran_requests', 'ran_keys'):
        parts[name] = Counter(parts.get(name, {}))
    journal = Journal(exchanges=list(exchanges), **parts)
    return [*check_exchanges(journal), *check_keys(journal)]


def test_correct_answers_pass():
    """Guards against false positives of the checks on correct runs."""
    partial = make_answer(
        request_id='r2',
        outcome='partial',
        matches=make_matches(QUERY, 4, 1),
        shards={
            'asked': 2,
            'answered': 1,
            'missing': [{'partition': 0, 'reason': 'late'}],
        },
    )
    refused = {'request_id': 'r3', 'outcome': 'refused'}
    exchanges = [
        make_exchange(answer) for answer in (make_answer(), partial, refused)
    ]
    assert not list_faults(*exchanges)


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({'matches': make_matches(QUERY, 3, 0)}, 'matches are not those'),
        ({'matches': []}, 'matches are not those'),
        (
            {'shards': {'asked': 3, 'answered': 2, 'missing': []}},
            'does not add up',
        ),
        ({'outcome': 'refused'}, 'refused but executed'),
    ],
)
def test_wrong_answers_are_found(changes, expected):
    """Guards against guarantee violations that the checks miss."""
    exchange = make_exchange(make_answer(**changes))
    faults = list_faults(exchange, ran_requests={'r1': 1, 'r2': 0})
    assert any(expected in fault for fault in faults), faults


def test_lost_answers_require_outage_of_their_entry():
    """Guards against accepting broken connections without an outage."""
    lost = make_exchange(None)
    assert list_faults(lost)
    assert list_faults(lost, outages=[Outage('b-1', 10, 12)])
    assert not list_faults(lost, outages=[Outage('a-1', 10.5, 12)])


def test_counters_that_do_not_match_are_found():
    """Guards against checks that pass because counters are missing."""
    exchanges = [make_exchange(make_answer())]
    matching = Journal(exchanges, ran_requests=Counter({'r1': 3}))
    assert not list(check_counters(matching))
    assert list(check_counters(Journal(exchanges)))


def test_keys_run_once_and_have_one_answer():
    """Guards against duplicate execution of once-only requests."""
    assert list_faults(ran_keys={'k': 2})
    first = make_exchange(make_answer(), 'k')
    other = make_exchange(make_answer(matches=[], repeated=True), 'k')
    assert list_faults(first, other)


def test_versions_that_go_back_are_found():
    """Guards against undetected rollback of an accepted catalogue."""
    assert not list(check_versions(Journal(versions={'a': [1, 2, 0, 2]})))
    assert list(check_versions(Journal(versions={'a': [1, 2, 0, 1]})))


def test_accepted_changes_persist_and_conflicts_have_one_winner():
    """Guards against lost changes and two accepted on one base version."""

    def send(name, outcome, base=1):
        content = {
            'change_id': name,
            'base_version': base,
            'edits': [{'name': name}],
        }
        verdict = {'outcome': outcome} if outcome else None
        return SentChange('a-1', content, verdict)

    def check(changes, *present):
        history = [{'change_id': name} for name in present]
        catalogue = {'domains': dict.fromkeys(present)}
        return list(check_changes(changes, catalogue, history))

    won, lost = send('x', 'accepted'), send('y', 'conflict')
    assert not check([won, lost], 'x')
    assert check([won, lost])
    assert check([won, lost], 'x', 'y')
    assert check([won, send('z', 'accepted')], 'x', 'z')
    assert check([send('u', '')], 'u')
