"""Share of the limits that an entry uses without an answer of the leader."""

import random
from collections.abc import Mapping, Sequence

from shallotgate.generated.messages import PermitRequest
from shallotgate.target_limits._allocator import DENIED
from shallotgate.target_limits._rates import FALLBACK_SHARE, get_rate


class FallbackShare:
    """Grants requests at an even part of a small share of each limit.

    A target is used at most once per interval, first at a random time within
    it, so that entries that lose the leader together do not all send at once.
    ``now`` is always in monotonic seconds.
    """

    def __init__(
        self, generator: random.Random, share: float = FALLBACK_SHARE
    ) -> None:
        """``share`` is the part of each limit that all entries use together."""
        self._generator = generator
        self._share = share
        # Earliest time of the next request, by target.
        self._next_at: dict[str, float] = {}

    def reset(self) -> None:
        """Forget all targets: the leader answers again."""
        self._next_at.clear()

    def grant(
        self,
        request: PermitRequest,
        limits: Mapping[str, float],
        entries: int,
        now: float,
        since: float | None = None,
    ) -> list[int]:
        """Return the position of the granted target of each choice.

        ``since`` is when the leader was lost, if that is known: what has become
        due since then may be used. Otherwise it is the first use of a target.
        ``entries`` share the limits; if the number is unknown, which is given
        as 0, nothing is granted. Requests that do not need a target get none.
        """
        denied = [DENIED for _ in request.choices]
        if not entries or not request.needed:
            return denied
        intervals = {
            target: entries / (get_rate(limits[target]) * self._share)
            for choice in request.choices
            for target in choice
        }
        positions = [
            self._find_due(choice, intervals, now, since)
            for choice in request.choices
        ]
        due = [
            index
            for index, position in enumerate(positions)
            if position != DENIED
        ]
        if len(due) < request.needed:
            return denied
        for index in due[: request.needed]:
            target = request.choices[index][positions[index]]
            self._next_at[target] = now + intervals[target]
            denied[index] = positions[index]
        return denied

    def get_wait_s(self, target: str, now: float) -> float | None:
        """Return the seconds until a target may be used; None if unknown."""
        due_at = self._next_at.get(target)
        return None if due_at is None else max(due_at - now, 0)

    def _find_due(
        self,
        choice: Sequence[str],
        intervals: Mapping[str, float],
        now: float,
        since: float | None,
    ) -> int:
        for position, target in enumerate(choice):
            due_at = self._next_at.get(target)
            if due_at is None:
                started_at = now if since is None else since
                phase = self._generator.random()
                due_at = started_at + intervals[target] * phase
                self._next_at[target] = due_at
            if due_at <= now:
                return position
        return DENIED
