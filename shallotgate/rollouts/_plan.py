"""Times of a rollout within its duration."""

from dataclasses import dataclass

# Shares of the requests that candidates get once they are judged good.
RAMP_SHARES = (0.25, 0.6, 1.0)
# Duration of a ramp step: a share of the whole, and bounds in seconds. Entries
# ask for permits every 0.4 s, so a shorter step is not in force everywhere.
_STEP_SHARE = 0.04
_MIN_STEP_S = 0.6
_MAX_STEP_S = 2.0
# Bound of a step for very short rollouts, as a share of the whole.
_MAX_STEP_SHARE = 0.15
# Shortest time at the full share in seconds: two questions of each entry.
_MIN_FULL_S = 1.0
# Time between the planned end and the deadline: a share of the whole, and
# bounds in seconds. An election takes about 1 s.
_RESERVE_SHARE = 0.12
_MIN_RESERVE_S = 0.8
_MAX_RESERVE_S = 4.0
# Time before the deadline at which the order ends in any case, so that its
# state is committed by then: seconds, and at most this share of the whole.
_LAST_S = 0.8
_LAST_SHARE = 0.1
# Shortest ramp: three steps in seconds.
_SHORTEST_RAMP_S = 2.2

# Replies of candidates to be collected before they are judged. The number falls
# if the ramp needs more of the exposure that a bad version may get.
_MIN_REPLIES = 25
_MAX_REPLIES = 150
# Part of the exposure that is left for them: faults may show late.
_COLLECTED_SHARE = 0.6
# Exposure that a bad version may get, as a share of the requests and a number.
_EXPOSURE_SHARE = 0.1
_EXPOSURE_SLACK = 45
# Part of the ramp that a fault which begins with it lasts at most.
_RAMP_EXPOSURE_SHARE = 0.7


@dataclass(frozen=True)
class RolloutPlan:
    """Times in seconds since the acceptance.

    The candidate is judged as late as the ramp permits, because faults may
    begin late, and the requests that it gets until then are few.

    >>> plan = RolloutPlan.create(30)
    >>> plan.step_s, round(plan.ramp_at, 1), plan.end_by
    (1.2, 22.8, 29.2)
    """

    duration_s: float
    step_s: float
    # Planned begin of the ramp, and the latest one.
    ramp_at: float
    ramp_by: float
    end_by: float

    @classmethod
    def create(cls, duration_s: float) -> 'RolloutPlan':
        """Return the plan for a duration."""
        step_s = min(
            _clamp(duration_s * _STEP_SHARE, _MIN_STEP_S, _MAX_STEP_S),
            duration_s * _MAX_STEP_SHARE,
        )
        reserve_s = _clamp(
            duration_s * _RESERVE_SHARE, _MIN_RESERVE_S, _MAX_RESERVE_S
        )
        end_by = duration_s - min(_LAST_S, duration_s * _LAST_SHARE)
        ramp_s = len(RAMP_SHARES) * step_s + reserve_s
        ramp_at = max(duration_s - ramp_s, duration_s / 4)
        ramp_by = max(end_by - _SHORTEST_RAMP_S, ramp_at)
        return cls(duration_s, step_s, ramp_at, ramp_by, end_by)

    @property
    def full_s(self) -> float:
        """Shortest time at the full share."""
        return max(self.step_s, _MIN_FULL_S)

    def choose_replies(self, per_s: float) -> float:
        """Return how many replies of candidates are collected first.

        ``per_s`` are the requests to the service.
        """
        allowed = self.duration_s * per_s * _EXPOSURE_SHARE + _EXPOSURE_SLACK
        ramp = per_s * self.step_s * sum(RAMP_SHARES[:-1])
        ramp += per_s * self.full_s
        left = allowed - ramp * _RAMP_EXPOSURE_SHARE
        return _clamp(left * _COLLECTED_SHARE, _MIN_REPLIES, _MAX_REPLIES)


def _clamp(number: float, least: float, most: float) -> float:
    return max(least, min(number, most))
