"""Checks of answers against the data of the stand-in targets."""

from testkit.standin import make_matches


def check_answers(harness, answers):
    """Check each answer of a load and return those that were received."""
    found = [(query, answer) for query, answer in answers if answer]
    faults = [
        (find_answer_errors(query, answer, harness.partitions), query, answer)
        for query, answer in found
    ]
    assert [fault for fault in faults if fault[0]] == []
    return [answer for _, answer in found]


def find_answer_errors(query, answer, partitions):
    """Return the names of the checks that an answer fails.

    ``partitions`` maps an index version to its number of partitions. Answers
    truncated by a limit are not supported.
    """
    if answer['outcome'] not in {'complete', 'partial'}:
        return ['matches without coverage'] if answer.get('matches') else []
    shards = answer['shards']
    snapshot = answer['snapshot']
    missing = {shard['partition'] for shard in shards['missing']}
    is_complete = answer['outcome'] == 'complete'
    checks = {
        'asked': shards['asked'] == partitions[snapshot],
        'sum': shards['answered'] + len(missing) == shards['asked'],
        'reasons': all(shard['reason'] for shard in shards['missing']),
        'outcome': is_complete == (not missing),
        'matches_full': answer['matches_full'] == (not missing),
        'matches': sort_ids(answer['matches'])
        == sort_ids(list_matches(query, snapshot, shards['asked'], missing)),
    }
    return [name for name, passed in checks.items() if not passed]


def list_matches(query, version, partitions, missing=()):
    """Return the matches that the stand-ins return for a query."""
    return [
        match
        for partition in range(partitions)
        if partition not in missing
        for match in make_matches(query, version, partition)
    ]


def sort_ids(matches):
    return sorted(match['id'] for match in matches)
