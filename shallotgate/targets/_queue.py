"""Deadline-ordered queue of one target."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable

from shallotgate.targets._task import Work

Refusal = tuple[Work, str]
Refuse = Callable[[Work], str]


class AttemptQueue:
    """Attempts by deadline, and trials; the caller holds a lock."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Work]] = []
        self._trials: deque[Work] = deque()
        self._numbers = itertools.count()
        # Digests of which a screening attempt is running.
        self._screened: set[str] = set()

    def __len__(self) -> int:
        return len(self._heap) + len(self._trials)

    def add(self, work: Work) -> None:
        """Add an attempt."""
        if work.attempt.trial:
            self._trials.append(work)
        else:
            heapq.heappush(
                self._heap,
                (work.deadline, next(self._numbers), work),
            )

    def pop(
        self,
        in_flight: int,
        refuse: Refuse,
        refused: list[Refusal],
    ) -> Work | None:
        """Return the next attempt that may be sent now.

        What ``refuse`` gives a reason for is put into ``refused``. A trial
        goes first and waits until nothing is in flight.
        """
        while self._trials and not in_flight:
            work = self._trials.popleft()
            if self._admit(work, refuse, refused):
                return work
        if self._trials or not self._heap:
            return None
        return self._pop_first(refuse, refused)

    def _pop_first(
        self,
        refuse: Refuse,
        refused: list[Refusal],
    ) -> Work | None:
        set_aside = []
        chosen = None
        while self._heap and chosen is None:
            item = heapq.heappop(self._heap)
            work = item[2]
            if self._is_screened(work):
                set_aside.append(item)
            elif self._admit(work, refuse, refused):
                chosen = work
        for item in set_aside:
            heapq.heappush(self._heap, item)
        if chosen is not None and chosen.attempt.screening:
            self._screened.add(chosen.attempt.digest)
        return chosen

    def end_screening(self, work: Work) -> None:
        """Let the next screening attempt of the digest run."""
        if work.attempt.screening:
            self._screened.discard(work.attempt.digest)

    def discard(self, work: Work) -> None:
        """Remove an attempt, if it is still here."""
        if work in self._trials:
            self._trials.remove(work)
        self._heap = [item for item in self._heap if item[2] is not work]
        heapq.heapify(self._heap)

    def take_overdue(self, now: float) -> list[Work]:
        """Remove and return the attempts whose deadline has passed."""
        overdue = [work for work in self._trials if work.deadline <= now]
        for work in overdue:
            self._trials.remove(work)
        while self._heap and self._heap[0][0] <= now:
            overdue.append(heapq.heappop(self._heap)[2])
        return overdue

    def take_all(self) -> list[Work]:
        """Remove and return everything."""
        works = [*self._trials, *(item[2] for item in self._heap)]
        self._trials.clear()
        self._heap.clear()
        return works

    def _is_screened(self, work: Work) -> bool:
        attempt = work.attempt
        return attempt.screening and attempt.digest in self._screened

    def _admit(
        self,
        work: Work,
        refuse: Refuse,
        refused: list[Refusal],
    ) -> bool:
        reason = refuse(work)
        if reason:
            refused.append((work, reason))
        return not reason
