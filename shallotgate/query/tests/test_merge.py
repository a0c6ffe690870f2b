import pytest
from hypothesis import given, seed
from hypothesis import strategies as st

from shallotgate.codec import encode_json
from shallotgate.query import InvalidMatchesError, decode_matches, merge_matches
from shallotgate.query.tests.tier import Tier, reply_ok, reply_with
from shallotgate.routing.tests.builders import SEED

MATCHES = st.lists(
    st.fixed_dictionaries(
        {'id': st.integers(0, 20), 'score': st.integers(0, 5)}
    ),
    max_size=12,
)


@seed(SEED)
@given(lists=st.lists(MATCHES, max_size=5), limit=st.integers(1, 30))
def test_merge_keeps_the_best_of_each_id_in_order(lists, limit):
    """Guards against duplicate, missing or misordered matches."""
    merged, is_cut = merge_matches(lists, limit)
    best = {}
    for match in (one for matches in lists for one in matches):
        best[match['id']] = max(best.get(match['id'], 0), match['score'])
    ids = [match['id'] for match in merged]
    assert len(ids) == len(set(ids)) == min(len(best), limit)
    assert is_cut == (len(best) > limit)
    assert all(match['score'] == best[match['id']] for match in merged)
    scores = [match['score'] for match in merged]
    assert scores == sorted(scores, reverse=True)
    lowest = min(scores, default=0)
    left_out = [best[one] for one in best if one not in ids]
    assert all(score <= lowest for score in left_out)


@seed(SEED)
@given(lists=st.lists(MATCHES, max_size=5), limit=st.integers(1, 30))
def test_merge_does_not_depend_on_the_order_of_replies(lists, limit):
    """Guards against answers that depend on the arrival order of replies."""
    # Matches have no fields but id and score, so that equal ones are identical.
    assert merge_matches(lists, limit) == merge_matches(lists[::-1], limit)


@seed(SEED)
@given(content=st.binary(max_size=40))
def test_any_bytes_are_matches_or_an_error(content):
    """Guards against queries that fail with an exception on bad matches."""
    try:
        matches = decode_matches(content)
    except InvalidMatchesError:
        return
    assert all('id' in match for match in matches)


def test_deeply_nested_matches_are_an_error():
    """Guards against a query that ends with an internal error."""
    nested = b'[{"id":"a","x":' + b'[' * 3000 + b']' * 3000 + b'}]'
    with pytest.raises(InvalidMatchesError):
        decode_matches(nested)


SHARD = st.fixed_dictionaries(
    {
        'status': st.sampled_from(['ok', 'ok', 'ok', 'failed', 'timeout']),
        'truncated': st.booleans(),
        'covered': st.booleans(),
        'matches': MATCHES,
    }
)


@seed(SEED)
@given(shards=st.lists(SHARD, min_size=1, max_size=4), limit=st.integers(1, 9))
def test_coverage_states_exactly_what_was_merged(shards, limit):
    """Guards against an answer that overstates its coverage."""
    tier = Tier(shards=len(shards), replicas=1)

    def behave(attempt):
        shard = shards[attempt.partition]
        if shard['status'] != 'ok':
            return reply_with(shard['status'])(attempt)
        return reply_ok(
            attempt,
            truncated=shard['truncated'],
            covered=shard['covered'],
            matches=encode_json(shard['matches']),
        )

    tier.port.behaviours = {name: behave for name in tier.places}
    answer = tier.ask(limit=limit)
    good = [shard for shard in shards if shard['status'] == 'ok']
    bad = {
        (number, shard['status'])
        for number, shard in enumerate(shards)
        if shard['status'] != 'ok'
    }
    missing = answer.shards.missing
    assert {(one.partition, one.reason) for one in missing} == bad
    assert answer.shards.answered == len(good)
    assert answer.shards.asked == len(shards)
    ids = {match['id'] for shard in good for match in shard['matches']}
    is_whole = not bad and all(
        shard['covered'] and not shard['truncated'] for shard in good
    )
    assert answer.matches_full == (is_whole and len(ids) <= limit)
    is_complete = not bad and all(shard['covered'] for shard in good)
    assert (answer.outcome == 'complete') == is_complete
    if good:
        assert {match['id'] for match in answer.matches} <= ids
        assert len(answer.matches) == min(len(ids), limit)
    else:
        assert answer.outcome in {'failed', 'unknown'}
