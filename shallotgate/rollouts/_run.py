"""One order at the leader: steps, completion and rollback."""

from dataclasses import asdict
from typing import Literal

from shallotgate.generated.messages import MarkRollout, ObservedRollout
from shallotgate.logs import get_logger
from shallotgate.rollouts._comparison import (
    BAD,
    CLEARLY_BAD,
    SUSPICIOUS,
    Evidence,
    Strictness,
    find_fault,
    is_share_usual,
)
from shallotgate.rollouts._granter import PERMIT_S, PermitGranter
from shallotgate.rollouts._history import SumsHistory
from shallotgate.rollouts._ledger import ExposureLedger
from shallotgate.rollouts._plan import RAMP_SHARES, RolloutPlan
from shallotgate.rollouts._records import Rollout
from shallotgate.rollouts._sums import ReplySums, SumKey
from shallotgate.rollouts._usage import UsageTracker

_LOGGER = get_logger('rollouts')
# Bound of the requests that a version gets that is not judged good: a share of
# the requests since the order, and a number. Below the promised 0.1 and 50,
# which also have to cover a fault that shows during the ramp.
_ALLOWED_SHARE = 0.09
_ALLOWED_SLACK = 30
# Replies of candidates without which they are not judged.
_LEAST_REPLIES = 20
# The same at the latest moment for it.
_LAST_REPLIES = 8
# Bounds of the share of requests that a version gets that is not judged yet.
_MIN_SHARE = 0.04
# Replies that are missing are collected in the time that is left, in seconds;
# once it is less than the first bound, in the second.
_MIN_COLLECT_S = 0.5
_LATE_COLLECT_S = 3.0
# Share until the rate of requests is known well enough, after some seconds.
_START_SHARE = 0.1
_RATE_S = 1.0
_MAX_SHARE = 0.5
# Time in seconds in which a new leader grants nothing, because permits of the
# former one may be in use, and learns from entries what they counted.
_SETTLE_S = PERMIT_S + 0.2
# Time in seconds that a new leader has to judge and to ramp up in any case.
_TAKEOVER_JUDGE_S = _SETTLE_S + 1.0
_TAKEOVER_S = _TAKEOVER_JUDGE_S + 2.6
_MARK_INTERVAL_S = 1.0

State = Literal['running', 'completed', 'rolled_back']


class RolloutRun:
    """Decides on one order from what all entries state.

    ``now`` is in monotonic seconds.
    """

    def __init__(
        self,
        rollout: Rollout,
        elapsed_s: float,
        now: float,
        *,
        is_inherited: bool,
    ) -> None:
        """``is_inherited`` is whether another leader may have run the order."""
        self.state: State = 'running'
        self.rollout = rollout
        self._started_at = now - elapsed_s
        self._plan = RolloutPlan.create(rollout.duration_s)
        self._ramp_by = self._plan.ramp_by
        self._end_by = self._plan.end_by
        self._settled_at = now
        if is_inherited:
            self._take_over(elapsed_s, now)
        self._ledger = ExposureLedger(rollout.requests, rollout.exposed)
        self.granter = PermitGranter(self._ledger, now)
        self._history = SumsHistory()
        self._usage = UsageTracker()
        # Position in the ramp; -1 before the candidate is judged good.
        self._step = -1
        self._step_at = now
        self._marked_at = now

    def grant(self, source: str, observed: ObservedRollout, now: float) -> int:
        """Record what an entry states; return the permits that it holds."""
        self._history.record(source, _decode_sums(observed))
        return self.granter.grant(
            source, (observed.requests, observed.exposed, observed.held), now
        )

    def review(self, now: float, *, has_capacity: bool) -> None:
        """Take the next step if it is due.

        ``has_capacity`` is whether enough targets of the version are listed.
        """
        if self.state != 'running':
            return
        elapsed_s = now - self._started_at
        self._usage.record(now, self._ledger.requests, self._ledger.spent)
        self._history.keep_copy(now)
        is_full = self.granter.share >= 1
        fault = self._find_fault(now, CLEARLY_BAD if is_full else BAD)
        if fault:
            self._end('rolled_back', 'The candidate is bad', now, fault)
        elif self._step < 0:
            self._review_canary(now, elapsed_s, has_capacity=has_capacity)
        else:
            self._review_ramp(now, elapsed_s, has_capacity=has_capacity)

    def conclude(self, state: State) -> None:
        """Take over the state from the records, if it was ended there."""
        if self.state == 'running':
            self.state = state
            self.granter.share = 0

    def make_mark(self, now: float) -> MarkRollout | None:
        """Return the progress if it is to be recorded now."""
        is_news = self.is_judged_good and not self.rollout.is_judged_good
        if now - self._marked_at < _MARK_INTERVAL_S and not is_news:
            return None
        self._marked_at = now
        return MarkRollout(
            service=self.rollout.service,
            order=self.rollout.order,
            elapsed_s=round(now - self._started_at, 3),
            requests=self._ledger.requests,
            exposed=self._ledger.exposed,
            is_judged_good=self.is_judged_good,
        )

    @property
    def is_judged_good(self) -> bool:
        """Whether the candidate is judged good, here or by a former leader."""
        return self._step >= 0 or self.rollout.is_judged_good

    def describe(self, now: float) -> dict[str, object]:
        """Return the sums on which decisions are taken, for the log."""
        return {
            'service': self.rollout.service,
            'order': self.rollout.order,
            'version': self.rollout.target_version,
            'elapsed_s': round(now - self._started_at, 2),
            'share': round(self.granter.share, 3),
            'requests': self._ledger.requests,
            'exposed': self._ledger.spent,
            'candidate': asdict(self._history.add_candidates()),
            'in_force': asdict(self._history.add_in_force()),
        }

    def _take_over(self, elapsed_s: float, now: float) -> None:
        """Continue the order of a former leader."""
        self._settled_at = now + _SETTLE_S
        is_open = elapsed_s < self.rollout.duration_s
        if is_open or self.rollout.is_judged_good:
            self._ramp_by = max(self._ramp_by, elapsed_s + _TAKEOVER_JUDGE_S)
            self._end_by = max(self._end_by, elapsed_s + _TAKEOVER_S)

    def _find_fault(
        self, now: float, strictness: Strictness
    ) -> Evidence | None:
        totals = self._history.totals
        for window in self._history.iter_windows(now):
            evidence = find_fault(window, totals, strictness)
            if evidence is not None:
                return evidence
        return None

    def _review_canary(
        self, now: float, elapsed_s: float, *, has_capacity: bool
    ) -> None:
        if now < self._settled_at:
            return
        is_due = elapsed_s >= self._plan.ramp_at or self.rollout.is_judged_good
        if is_due and has_capacity and self._is_proven(now, elapsed_s):
            self._begin_step(0, now)
        elif elapsed_s >= self._ramp_by:
            reason = 'The candidate is not proven in time'
            self._end('rolled_back', reason, now)
        else:
            self._update_canary_share(now, elapsed_s)

    def _is_proven(self, now: float, elapsed_s: float) -> bool:
        is_last = elapsed_s >= self._ramp_by
        least = _LAST_REPLIES if is_last else _LEAST_REPLIES
        if self._history.add_candidates().replies < least:
            return False
        is_usual = is_share_usual(self._history.totals)
        return is_usual and self._find_fault(now, SUSPICIOUS) is None

    def _update_canary_share(self, now: float, elapsed_s: float) -> None:
        """Collect the wanted replies in the time that is left for it."""
        rate = max(self.granter.get_rate(now), 1)
        wanted = self._plan.choose_replies(rate)
        missing = wanted - self._history.add_candidates().replies
        left_s = self._plan.ramp_at - elapsed_s
        if left_s < _MIN_COLLECT_S:
            left_s = _LATE_COLLECT_S
        share = min(max(missing / (rate * left_s), _MIN_SHARE), _MAX_SHARE)
        if now - self._settled_at < _RATE_S:
            share = _START_SHARE
        if not self.granter.share:
            self.granter.share = share
            _LOGGER.info('Candidate is tried.', extra=self.describe(now))
        self.granter.share = share
        self.granter.allowance = (
            self._ledger.requests * _ALLOWED_SHARE + _ALLOWED_SLACK
        )

    def _begin_step(self, step: int, now: float) -> None:
        self._step = step
        self._step_at = now
        self.granter.share = RAMP_SHARES[step]
        # The candidate is judged good.
        self.granter.allowance = float('inf')
        _LOGGER.info('Share of the candidate raised.', extra=self.describe(now))

    def _review_ramp(
        self, now: float, elapsed_s: float, *, has_capacity: bool
    ) -> None:
        is_full = self._step == len(RAMP_SHARES) - 1
        is_last = elapsed_s >= self._end_by
        is_due = now - self._step_at >= self._choose_step_s(elapsed_s)
        strictness = BAD if is_full else SUSPICIOUS
        is_sound = has_capacity and not self._find_fault(now, strictness)
        is_used = is_full and self._usage.is_full(now, self._step_at)
        if is_sound and is_used and (is_due or is_last):
            self._end('completed', 'The candidate is good', now)
        elif is_last:
            reason = 'The candidate is not in full use in time'
            self._end('rolled_back', reason, now)
        elif is_due and is_sound and not is_full:
            self._begin_step(self._step + 1, now)

    def _choose_step_s(self, elapsed_s: float) -> float:
        """Return the planned duration of a step, or less if time is short."""
        if self.granter.share >= 1:
            return self._plan.full_s
        steps_left = len(RAMP_SHARES) - self._step
        left_s = max(self._end_by - elapsed_s, 0)
        return min(self._plan.step_s, left_s / (steps_left + 1))

    def _end(
        self,
        state: State,
        reason: str,
        now: float,
        evidence: Evidence | None = None,
    ) -> None:
        self.state = state
        self.granter.share = 1.0 if state == 'completed' else 0
        shown = {'state': state, 'evidence': evidence and asdict(evidence)}
        _LOGGER.info('%s.', reason, extra={**self.describe(now), **shown})


def _decode_sums(observed: ObservedRollout) -> dict[SumKey, ReplySums]:
    return {
        (route, target): ReplySums(*sums)
        for route, target, *sums in zip(
            observed.routes,
            observed.targets,
            observed.replies,
            observed.failures,
            observed.slow,
            strict=True,
        )
    }
