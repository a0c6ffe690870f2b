"""Number of entries around a change of leader."""

import pytest

from shallotgate.generated.messages import FollowTier
from shallotgate.registry._entry_counter import EntryCounter

ENTRIES = 191
# All entries have asked a new leader by then.
SETTLED_S = 6


def ask(counter, entry, now, **fields):
    counter.record_request(entry, FollowTier(domain='a', **fields), now)


@pytest.fixture
def counter():
    counter = EntryCounter()
    counter.set_leading(True, 0)
    return counter


def test_first_entry_at_a_new_leader_is_not_told_that_it_is_alone(counter):
    """Guards against an entry that uses the limits of the whole tier.

    The first of 191 entries to ask was told a count of one, and then took all
    of the retry budget, the connections and the rate of cold targets.
    """
    ask(counter, 'e-1', 0.1, entries=ENTRIES)
    assert counter.count(0.1) == ENTRIES


def test_count_is_unknown_while_nobody_was_told_one(counter):
    """Guards against a wrong count after a restart of the whole tier."""
    ask(counter, 'e-1', 0.1)
    assert counter.count(0.1) == 0
    ask(counter, 'e-1', SETTLED_S - 1)
    assert counter.count(SETTLED_S) == 1


def test_count_follows_the_live_entries_once_all_have_asked(counter):
    """Guards against entries that count for ever after they are gone."""
    ask(counter, 'e-1', 0.1, entries=ENTRIES)
    for number in range(3):
        ask(counter, f'e-{number}', SETTLED_S, entries=ENTRIES)
    assert counter.count(SETTLED_S) == 3
    ask(counter, 'e-2', SETTLED_S + 0.1, leaving=True)
    assert counter.count(SETTLED_S + 0.1) == 2


def test_instances_that_were_added_count_at_a_new_leader(counter):
    """Guards against shares that are too large for the added entries."""
    for number in range(ENTRIES + 9):
        ask(counter, f'e-{number}', 0.5, entries=ENTRIES)
    assert counter.count(0.5) == ENTRIES + 9


def test_former_leader_knows_nothing(counter):
    """Guards against an old count when a member leads again."""
    ask(counter, 'e-1', 0.1, entries=ENTRIES)
    counter.set_leading(False, 1)
    counter.set_leading(True, 30)
    ask(counter, 'e-1', 30)
    assert counter.count(30) == 0


def test_silent_share_counts_entries_that_stopped_asking(counter):
    """Guards against granting what cut off entries still use."""
    for number in range(10):
        ask(counter, f'e-{number}', 100)
    assert counter.get_silent_share(101) == 0
    for number in range(7):
        ask(counter, f'e-{number}', 103)
    assert counter.get_silent_share(103) == pytest.approx(0.3)
    ask(counter, 'e-9', 103, leaving=True)
    assert counter.get_silent_share(103) == pytest.approx(2 / 9)
    for number in range(7):
        ask(counter, f'e-{number}', 170)
    assert counter.get_silent_share(170) == 0


def test_new_leader_takes_unheard_entries_for_silent(counter):
    """Guards against a leader that grants the parts of all others."""
    ask(counter, 'e-1', 0.1, entries=10)
    assert counter.get_silent_share(0.1) == 1
    assert counter.get_silent_share(1.9) == pytest.approx(0.9)


def test_no_entry_is_silent_after_a_restart_of_the_whole_tier(counter):
    """Guards against refusals while nobody holds anything."""
    ask(counter, 'e-1', 0.1)
    assert counter.get_silent_share(0.1) == 0
