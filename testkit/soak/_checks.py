"""Black-box checks of the exchanges and counters recorded during a run."""

from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from testkit.soak._records import Exchange, Journal, Outage, SentChange
from testkit.standin import make_matches

# Connections may break shortly before the recorded start of an outage.
_OUTAGE_MARGIN_S = 0.5
_HISTORY_LIMIT = 1000


def check_exchanges(journal: Journal) -> Iterator[str]:
    """Yield a fault for each exchange that violates a guarantee."""
    seen: set[str] = set()
    for exchange in journal.exchanges:
        if exchange.answer is None:
            if exchange.sent and not _overlaps_outage(
                exchange, journal.outages
            ):
                yield f'no answer: {_describe(exchange)}'
            continue
        for fault in _check_answer(journal, exchange, exchange.answer, seen):
            yield f'{fault}: {_describe(exchange)}'


def check_counters(journal: Journal) -> Iterator[str]:
    """Yield a fault if too few answers have counters to compare with.

    A stand-in target loses its counters in a crash, so some answers may have
    none; at least half must have them.
    """
    complete = [
        exchange.answer['request_id']
        for exchange in journal.exchanges
        if exchange.answer and exchange.answer['outcome'] == 'complete'
    ]
    known = sum(journal.ran_requests[name] > 0 for name in complete)
    if known * 2 < len(complete):
        yield f'test kit: runs of {known} of {len(complete)} answers are known'


def check_keys(journal: Journal) -> Iterator[str]:
    """Yield each idempotency key with two runs or two different answers."""
    for ran_key, count in journal.ran_keys.items():
        if count > 1:
            yield f'key {ran_key} ran {count} times'
    answers: defaultdict[str, set[str]] = defaultdict(set)
    for exchange in journal.exchanges:
        answer = exchange.answer
        if answer and answer['outcome'] == 'complete':
            sent_key = str(exchange.request.get('key', ''))
            answers[sent_key].add(repr(answer['matches']))
    answers.pop('', None)
    for answered_key, variants in answers.items():
        if len(variants) > 1:
            yield f'key {answered_key} has {len(variants)} different answers'


def check_versions(journal: Journal) -> Iterator[str]:
    """Yield each decrease of the catalogue version of an instance."""
    for instance, versions in journal.versions.items():
        highest = 0
        for version in versions:
            # A starting instance reports version 0 until it has a catalogue.
            if 0 < version < highest:
                yield f'{instance}: version {version} after {highest}'
            highest = max(highest, version)


def check_changes(
    changes: Sequence[SentChange],
    catalogue: Mapping[str, Any],
    history: Sequence[Mapping[str, Any]],
) -> Iterator[str]:
    """Yield lost accepted changes, applied refused ones and double commits."""
    recorded = Counter(record['change_id'] for record in history)
    # The history is truncated to the latest changes.
    is_history_complete = len(history) < _HISTORY_LIMIT
    accepted_counts: Counter[int] = Counter()
    for change in changes:
        count = recorded[change.content['change_id']]
        present = change.content['edits'][0]['name'] in catalogue['domains']
        if _is_accepted(change):
            accepted_counts[change.content['base_version']] += 1
            kept = present and (count == 1 or not is_history_complete)
        else:
            kept = not present and not count
        if not kept:
            yield f'verdict does not match the catalogue: {change}'
    for base, accepted_count in accepted_counts.items():
        if accepted_count > 1:
            yield f'{accepted_count} changes accepted on base version {base}'


def _is_accepted(change: SentChange) -> bool:
    verdict = change.verdict or {}
    return verdict.get('outcome') == 'accepted'


def _check_answer(
    journal: Journal,
    exchange: Exchange,
    answer: Mapping[str, Any],
    seen: set[str],
) -> Iterator[str]:
    request_id = str(answer.get('request_id'))
    # An answer replayed for an idempotency key has the id of the original.
    if request_id in seen and not answer.get('repeated'):
        yield 'request id used twice'
    seen.add(request_id)
    if answer['outcome'] == 'refused' and journal.ran_requests[request_id]:
        yield 'refused but executed'
    if not exchange.request.get('key'):
        yield from _check_matches(exchange.request, answer)


def _check_matches(
    request: Mapping[str, Any],
    answer: Mapping[str, Any],
) -> Iterator[str]:
    """Compare matches with those that the stand-in targets generate."""
    snapshot = answer.get('snapshot', 0)
    if answer['outcome'] not in {'complete', 'partial'}:
        return
    shards = answer['shards']
    missing = {shard['partition'] for shard in shards['missing']}
    if shards['answered'] + len(missing) != shards['asked']:
        yield 'coverage does not add up'
    if missing and answer['outcome'] == 'complete':
        yield 'complete with missing shards'
    expected = [
        match
        for partition in range(shards['asked'])
        if partition not in missing
        for match in make_matches(request['query'], snapshot, partition)
    ]
    if _sort_ids(answer['matches']) != _sort_ids(expected):
        yield 'matches are not those of the snapshot'


def _sort_ids(matches: Sequence[Mapping[str, Any]]) -> list[str]:
    return sorted(str(match['id']) for match in matches)


def _overlaps_outage(exchange: Exchange, outages: Sequence[Outage]) -> bool:
    return any(
        outage.entry == exchange.entry
        and exchange.started <= outage.ended
        and outage.started - _OUTAGE_MARGIN_S <= exchange.ended
        for outage in outages
    )


def _describe(exchange: Exchange) -> str:
    answer = exchange.answer or {}
    names = ('request_id', 'outcome', 'reason', 'snapshot', 'shards')
    found = {name: answer.get(name) for name in names if name in answer}
    return (
        f'{exchange.entry} at {exchange.started:.2f} to {exchange.ended:.2f}: '
        + f'{dict(exchange.request)} -> {found}'
    )
