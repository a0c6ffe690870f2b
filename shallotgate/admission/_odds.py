"""Part of the requests that is refused under a pressure."""

from dataclasses import dataclass

# Pressure that causes no refusals: reports vary, and what is known of a full
# replica is assumed in part of those that are not.
_IGNORED_PRESSURE = 0.1
# Largest part of a priority or an account that is refused before all others
# are refused as much: none gets less than a quarter of the share of all.
_MAX_PART = 0.75
# Pressures above 1 up to this one reduce all in the same proportion, down to
# this part of what they had.
_LAST_STAGE = 0.25
_LAST_PART = 0.2
# Effect of the difference between the usage of an account and the mean. At 3,
# an account at its limit is refused ten times as often as those at 0.6, if
# both have half of the requests.
_USAGE_EFFECT = 3.0


@dataclass(frozen=True)
class Rank:
    """Position of a priority among those of a service; 0 is most urgent."""

    position: int
    count: int


def compute_refused_part(
    pressure: float, rank: Rank, usage_difference: float = 0
) -> float:
    """Return the probability with which a request is refused.

    The pressure passes through one stage for each priority, the least urgent
    first. ``usage_difference`` is how much more of its limit the account has
    used than the mean account of the requests.

    >>> compute_refused_part(0.325, Rank(position=1, count=2))
    0.375
    >>> compute_refused_part(0.325, Rank(position=0, count=2))
    0.0
    """
    effect = (pressure - _IGNORED_PRESSURE) / (1 - _IGNORED_PRESSURE)
    stage = rank.count - 1 - rank.position
    level = _clamp(effect * rank.count - stage)
    # No effect at the ends, so that no account precedes a priority.
    slope = 2 * min(level, 1 - level)
    part = _clamp(level + usage_difference * _USAGE_EFFECT * slope) * _MAX_PART
    last = _clamp((pressure - 1) / _LAST_STAGE)
    return 1 - (1 - part) * (1 - last * (1 - _LAST_PART))


def _clamp(share: float) -> float:
    return min(max(share, float(0)), 1)
