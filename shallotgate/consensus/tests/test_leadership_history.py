"""Times of former leaderships, as a new leader knows them."""

from shallotgate.consensus._leadership_history import LeadershipHistory


def test_replayed_records_count_as_recent():
    """Guards against a restarted member that takes old terms for old times."""
    history = LeadershipHistory(started_at=100)
    for term in (1, 1, 2, 7):
        history.record_term(term, 101)
    assert history.previous_at >= 100


def test_skipped_records_count_as_recent():
    """Guards against leaderships that a snapshot hides."""
    history = LeadershipHistory(started_at=0)
    history.record_term(1, 1)
    history.record_gap(50)
    history.record_term(9, 51)
    assert history.previous_at == 50


def test_leadership_of_another_member_is_known_to_the_next_leader():
    """Guards against a leader that overlooks one just before its own."""
    history = LeadershipHistory(started_at=0)
    history.record_term(1, 1)
    history.record_term(2, 60)
    assert history.previous_at == 1
    history.record_term(3, 61)
    assert history.previous_at == 60
