"""Notices of entries that do not receive their updates."""

import pytest

from shallotgate.registry._update_tracker import UpdateTracker


@pytest.fixture
def tracker():
    tracker = UpdateTracker()
    tracker.record_request('entry-1', 4, now=0)
    tracker.record_sent('entry-1', 5, now=1)
    return tracker


def test_lost_table_is_logged_once(tracker, caplog):
    """Guards against an entry with an old table that no log line shows."""
    for now in (2, 3):
        tracker.record_request('entry-1', 4, now)
    assert [record.sent for record in caplog.records] == [5]
    assert tracker.count_behind(['entry-1'], version=5) == 1


def test_received_table_is_not_logged(tracker, caplog):
    """Guards against log lines for each table that arrives."""
    tracker.record_request('entry-1', 5, now=2)
    assert not caplog.records
    assert tracker.count_behind(['entry-1'], version=5) == 0


def test_entries_that_left_are_not_counted(tracker):
    assert tracker.count_behind([], version=5) == 0
