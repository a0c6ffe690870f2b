"""Share of the limits without an answer of the leader."""

import random

import pytest

from shallotgate.generated.messages import PermitRequest
from shallotgate.target_limits import DENIED, FallbackShare


def ask(*choices, needed=1):
    return PermitRequest(
        scope='s', priority=1, needed=needed, choices=list(choices)
    )


def count_granted(entries, limit, seconds):
    """Return the grants of all entries together, which ask all the time."""
    shares = [FallbackShare(random.Random(seed)) for seed in range(entries)]
    return sum(
        share.grant(ask(['a']), {'a': limit}, entries, tick / 50) == [0]
        for tick in range(seconds * 50)
        for share in shares
    )


@pytest.mark.parametrize(('entries', 'limit'), [(6, 16), (84, 16), (6, 1)])
def test_all_entries_together_keep_to_a_quarter(entries, limit):
    """Guards against a share that each entry takes for itself."""
    seconds = 8
    most = limit * seconds / 4
    assert count_granted(entries, limit, seconds) <= most * 1.2 + 3


def test_nothing_is_granted_without_a_count_of_entries():
    """Guards against an entry that takes the share of all."""
    share = FallbackShare(random.Random(1))
    for now in range(100):
        assert share.grant(ask(['a']), {'a': 100}, 0, now) == [DENIED]


def test_too_few_shards_use_nothing_up():
    """Guards against a share that is spent on requests that are refused."""
    share = FallbackShare(random.Random(1))
    limits = {'a': 100, 'b': 0.25}
    both = ask(['a'], ['b'], needed=2)
    assert share.grant(both, limits, 6, 0) == [DENIED, DENIED]
    assert share.grant(both, limits, 6, 10) == [DENIED, DENIED]
    assert share.grant(ask(['a']), limits, 6, 10) == [0]
    assert share.grant(both, limits, 6, 1000) == [0, 0]
