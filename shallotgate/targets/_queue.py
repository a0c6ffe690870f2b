"""Deadline-ordered queue of the attempts for one target."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable

from shallotgate.targets._task import AttemptTask

Refusal = tuple[AttemptTask, str]
FindRefusal = Callable[[AttemptTask], str]


class AttemptQueue:
    """Attempts ordered by deadline, and trials.

    The caller must hold a lock.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, AttemptTask]] = []
        self._trials: deque[AttemptTask] = deque()
        self._sequence_numbers = itertools.count()
        # Digests for which a screening attempt is running.
        self._screening_digests: set[str] = set()

    def __len__(self) -> int:
        return len(self._heap) + len(self._trials)

    def add(self, task: AttemptTask) -> None:
        """Queue an attempt."""
        if task.attempt.trial:
            self._trials.append(task)
        else:
            heapq.heappush(
                self._heap,
                (task.deadline, next(self._sequence_numbers), task),
            )

    def pop(
        self,
        in_flight: int,
        find_refusal: FindRefusal,
        refused: list[Refusal],
    ) -> AttemptTask | None:
        """Return the next attempt that may be sent now.

        Attempts for which ``find_refusal`` returns a reason are appended to
        ``refused``. Trials have priority and wait until nothing is in flight.
        """
        while self._trials and not in_flight:
            task = self._trials.popleft()
            if self._admit(task, find_refusal, refused):
                return task
        if self._trials or not self._heap:
            return None
        return self._pop_first(find_refusal, refused)

    def _pop_first(
        self,
        find_refusal: FindRefusal,
        refused: list[Refusal],
    ) -> AttemptTask | None:
        deferred = []
        chosen = None
        while self._heap and chosen is None:
            item = heapq.heappop(self._heap)
            task = item[2]
            if self._is_digest_screening(task):
                deferred.append(item)
            elif self._admit(task, find_refusal, refused):
                chosen = task
        for item in deferred:
            heapq.heappush(self._heap, item)
        if chosen is not None and chosen.attempt.screening:
            self._screening_digests.add(chosen.attempt.digest)
        return chosen

    def finish_screening(self, task: AttemptTask) -> None:
        """Allow the next screening attempt of the digest."""
        if task.attempt.screening:
            self._screening_digests.discard(task.attempt.digest)

    def discard(self, task: AttemptTask) -> None:
        """Remove an attempt if it is queued."""
        if task in self._trials:
            self._trials.remove(task)
        self._heap = [item for item in self._heap if item[2] is not task]
        heapq.heapify(self._heap)

    def remove_overdue(self, now: float) -> list[AttemptTask]:
        """Remove and return the attempts whose deadline has passed."""
        overdue = [task for task in self._trials if task.deadline <= now]
        for task in overdue:
            self._trials.remove(task)
        while self._heap and self._heap[0][0] <= now:
            overdue.append(heapq.heappop(self._heap)[2])
        return overdue

    def remove_all(self) -> list[AttemptTask]:
        """Remove and return all attempts."""
        tasks = [*self._trials, *(item[2] for item in self._heap)]
        self._trials.clear()
        self._heap.clear()
        return tasks

    def _is_digest_screening(self, task: AttemptTask) -> bool:
        attempt = task.attempt
        return attempt.screening and attempt.digest in self._screening_digests

    def _admit(
        self,
        task: AttemptTask,
        find_refusal: FindRefusal,
        refused: list[Refusal],
    ) -> bool:
        reason = find_refusal(task)
        if reason:
            refused.append((task, reason))
        return not reason
