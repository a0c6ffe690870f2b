"""Builds the answer to a query from the state of its shards."""

from collections import Counter
from collections.abc import Sequence

from shallotgate.generated.answers import Answer, MissingShard, ShardCoverage
from shallotgate.invariants import check
from shallotgate.query._dispatcher import Shard
from shallotgate.query._merge import merge_matches
from shallotgate.query._task import Task, Usage


def make_covered_answer(
    task: Task,
    usage: Usage,
    index_version: int,
    shards: Sequence[Shard],
    unanswered_reason: str,
) -> Answer:
    """Merge the answered shards and list the missing ones.

    ``unanswered_reason`` is used for missing shards that have no reason of
    their own.
    """
    answered = [shard for shard in shards if shard.matches is not None]
    missing = [
        MissingShard(
            partition=shard.partition,
            reason=shard.reason or unanswered_reason,
        )
        for shard in shards
        if shard.matches is None
    ]
    if not answered:
        return _make_empty_answer(task, usage, missing, unanswered_reason)
    return _make_merged_answer(task, usage, index_version, answered, missing)


def _make_empty_answer(
    task: Task,
    usage: Usage,
    missing: Sequence[MissingShard],
    unanswered_reason: str,
) -> Answer:
    outcome = usage.derive_outcome()
    # The reasons of shards that were attempted are more specific.
    tried = [shard for shard in missing if shard.reason != unanswered_reason]
    check(
        outcome != 'refused' or not usage.may_have_run,
        'refusal-only-if-not-run',
        request_id=task.request_id,
    )
    return task.make_answer(
        outcome,
        _find_main_reason(tried or missing),
        attempts=usage.sent,
        missing=missing,
    )


def _make_merged_answer(
    task: Task,
    usage: Usage,
    index_version: int,
    answered: Sequence[Shard],
    missing: Sequence[MissingShard],
) -> Answer:
    matches, is_cut = merge_matches(
        [shard.matches or () for shard in answered],
        task.request.limit,
    )
    uncovered = [shard for shard in answered if not shard.covered]
    truncated = [shard for shard in answered if shard.truncated]
    outcome = 'complete'
    reason = ''
    if missing:
        outcome = 'partial'
        reason = _find_main_reason(missing)
    elif uncovered:
        outcome = 'partial'
        reason = 'not_covered'
    return Answer(
        request_id=task.request_id,
        outcome=outcome,  # type: ignore[arg-type]
        reason=reason,
        snapshot=index_version,
        shards=ShardCoverage(
            asked=len(answered) + len(missing),
            answered=len(answered),
            missing=missing,
        ),
        matches=matches,
        matches_full=not (missing or uncovered or truncated or is_cut),
        deadline_ms=task.deadline_ms,
        elapsed_ms=task.compute_elapsed_ms(),
        attempts=usage.sent,
    )


def _find_main_reason(missing: Sequence[MissingShard]) -> str:
    counted = Counter(shard.reason for shard in missing)
    return counted.most_common(1)[0][0] if counted else ''
