"""Comparison of a candidate version with the version in force."""

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from shallotgate.rollouts._sums import (
    ReplySums,
    SumKey,
    add_all,
    split_versions,
)


@dataclass(frozen=True)
class Strictness:
    """What is required to conclude that the candidate has a fault."""

    # Probability of as many bad replies by chance, at most. The comparison is
    # repeated for some windows and routes, several times a second.
    probability: float
    # Bad replies, at least.
    least_bad: int
    # Whether each target has to show the fault, but for the worst one.
    is_common: bool = True


BAD = Strictness(1e-4, 4)
# Once candidates get most requests, chance is no concern, but troubles of the
# tier are, which the version in force no longer shows.
CLEARLY_BAD = Strictness(1e-7, 8)
# Delays the next step.
SUSPICIOUS = Strictness(0.01, 2, is_common=False)
# Least share of bad replies that is assumed of the version in force: a sound
# one has some, for example during pauses.
_MIN_REFERENCE_SHARE = 0.02
# Share of bad replies that says nothing if there are few replies.
_FEW_SHARE = 0.18
# Bad replies and replies assumed in addition, so that few replies of the
# version in force do not prove that it has no bad ones.
_PRIOR_BAD = 1.0
_PRIOR_REPLIES = 20.0
# Least excess of the candidate's share of bad replies, as a difference and as a
# multiple. Less is noise of a busy tier.
_MIN_EXCESS = 0.05
_MIN_RATIO = 2.0
# Replies of one target without which it does not show whether it has the fault.
_MIN_TARGET_REPLIES = 3
# Replies for each target in a window, on average, from which one without any is
# known to be down.
_CLEAR_REPLIES = 6
# Replies of one target which show that it has not.
_SOUND_REPLIES = 20
# Ratios to the version in force, and to the worst target, from which one target
# shows the fault.
_TARGET_RATIO = 1.5
_WORST_RATIO = 0.3
# Replies of the version in force in the same window and on the same route that
# suffice as a reference.
_MIN_REFERENCE_REPLIES = 20

_KINDS: tuple[Callable[[ReplySums], int], ...] = (
    lambda sums: sums.failures,
    lambda sums: sums.slow,
    lambda sums: sums.bad,
)


@dataclass(frozen=True)
class Evidence:
    """Replies that show a fault of the candidate."""

    # Route on which it shows; empty for all of them.
    route: str
    candidate: ReplySums
    in_force: ReplySums
    # Probability of as many bad replies by chance.
    probability: float


def find_fault(
    window: Mapping[SumKey, ReplySums],
    overall: Mapping[SumKey, ReplySums],
    strictness: Strictness,
) -> Evidence | None:
    """Return the evidence of a fault in a window, if there is any.

    ``overall`` are the sums since the order was given; they are the reference
    where the window has few replies of the version in force. A fault has to
    show on all routes together or on one of them.
    """
    routes = sorted({route for route, _ in window})
    for route in ('', *routes):
        evidence = _judge(
            route, _select(window, route), _select(overall, route), strictness
        )
        if evidence is not None:
            return evidence
    return None


def is_share_usual(overall: Mapping[SumKey, ReplySums]) -> bool:
    """Return whether few enough replies of the candidate are bad.

    Few replies may not suffice to prove a fault, and do not prove that there is
    none. One target may be worse than the others. Each route counts alone, too.
    """
    routes = sorted({route for route, _ in overall})
    return all(
        _is_share_usual(_select(overall, route)) for route in ('', *routes)
    )


def compute_tail(bad: int, replies: int, share: float) -> float:
    """Return the probability of at least so many bad replies.

    >>> round(compute_tail(2, 2, 0.5), 3)
    0.25
    >>> compute_tail(0, 5, 0.1)
    1.0
    """
    if bad <= 0:
        return 1.0
    total: float = 0
    for count in range(bad, replies + 1):
        term = math.exp(
            math.lgamma(replies + 1)
            - math.lgamma(count + 1)
            - math.lgamma(replies - count + 1)
            + count * math.log(share)
            + (replies - count) * math.log1p(-share)
        )
        total += term
        # The terms only fall from here on.
        if count > replies * share and term < total * 1e-6:
            break
    return min(total, 1.0)


def _is_share_usual(overall: Mapping[SumKey, ReplySums]) -> bool:
    candidates, in_force = split_versions(overall)
    ordered = sorted(candidates.values(), key=lambda sums: sums.bad)
    counted = ordered if len(ordered) == 1 else ordered[:-1]
    total = add_all(counted)
    share = _estimate_share(in_force, lambda sums: sums.bad)
    if _has_sound(ordered, lambda sums: sums.bad, share):
        return True
    usual = total.replies * (share * _MIN_RATIO + _MIN_EXCESS)
    return total.bad <= max(usual, total.replies * _FEW_SHARE, 1)


def _select(
    sums: Mapping[SumKey, ReplySums], route: str
) -> Mapping[SumKey, ReplySums]:
    if not route:
        return sums
    return {key: each for key, each in sums.items() if key[0] == route}


def _judge(
    route: str,
    window: Mapping[SumKey, ReplySums],
    overall: Mapping[SumKey, ReplySums],
    strictness: Strictness,
) -> Evidence | None:
    candidates, in_force = split_versions(window)
    all_candidates, all_in_force = split_versions(overall)
    if in_force.replies < _MIN_REFERENCE_REPLIES:
        in_force = all_in_force
    for count_bad in _KINDS:
        share = _estimate_share(in_force, count_bad)
        ordered = sorted(candidates.values(), key=count_bad)
        # A fault of the version shows on all its targets; one of them may be
        # slow or fail for another reason.
        remaining = ordered if len(all_candidates) == 1 else ordered[:-1]
        chance = 1.0
        if _may_be_common(ordered, count_bad, share, strictness):
            chance = _compute_chance(
                add_all(remaining), count_bad, share, strictness
            )
        if chance < strictness.probability:
            return Evidence(
                route, add_all(candidates.values()), in_force, chance
            )
    return None


def _estimate_share(
    in_force: ReplySums, count_bad: Callable[[ReplySums], int]
) -> float:
    """Return the share of bad replies that a sound version may have."""
    share = (count_bad(in_force) + _PRIOR_BAD) / (
        in_force.replies + _PRIOR_REPLIES
    )
    return min(max(share, _MIN_REFERENCE_SHARE), 0.9)


def _may_be_common(
    targets: Sequence[ReplySums],
    count_bad: Callable[[ReplySums], int],
    share: float,
    strictness: Strictness,
) -> bool:
    """Return whether a fault may be one of the version.

    ``targets`` are those of the candidate, the worst one last.
    """
    if not strictness.is_common:
        return not _has_sound(targets, count_bad, share)
    shares = [count_bad(each) / max(each.replies, 1) for each in targets]
    worst_share = max(shares, default=0)
    least = max(share * _TARGET_RATIO, worst_share * _WORST_RATIO)
    # A target without any reply is down if the others have many of them.
    is_down_clear = add_all(targets).replies >= len(targets) * _CLEAR_REPLIES
    return all(
        each.replies >= _MIN_TARGET_REPLIES
        and count_bad(each) > each.replies * least
        for each in targets[:-1]
        if each.replies or not is_down_clear
    )


def _has_sound(
    targets: Sequence[ReplySums],
    count_bad: Callable[[ReplySums], int],
    share: float,
) -> bool:
    """Return whether a target has enough replies and no more bad ones."""
    return any(
        each.replies >= _SOUND_REPLIES
        and count_bad(each) <= each.replies * share * _MIN_RATIO
        for each in targets
    )


def _compute_chance(
    total: ReplySums,
    count_bad: Callable[[ReplySums], int],
    share: float,
    strictness: Strictness,
) -> float:
    """Return how probable the bad replies are for a sound version."""
    bad = count_bad(total)
    least = total.replies * max(share + _MIN_EXCESS, share * _MIN_RATIO)
    if bad < max(least, strictness.least_bad):
        return 1.0
    return compute_tail(bad, total.replies, share)
