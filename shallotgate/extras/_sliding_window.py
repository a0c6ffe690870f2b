"""Counts over a sliding window."""

from collections import deque
from dataclasses import dataclass

# Cells that a window is counted in: what is counted leaves the sums up to one
# cell after it has left the window, never before.
_CELLS = 20


@dataclass(slots=True)
class _Cell:
    """What was counted in a part of a window."""

    number: int
    requests: int = 0
    extras: int = 0


class WindowCount:
    """Requests and extra attempts of the last window.

    Times are monotonic, in seconds.

    >>> count = WindowCount(window_s=10)
    >>> count.add(0, requests=1, extras=2)
    >>> count.turn_to(10)
    >>> count.requests, count.extras
    (1, 2)
    >>> count.turn_to(11)
    >>> count.requests, count.extras
    (0, 0)
    """

    def __init__(self, window_s: float) -> None:
        self._cell_s = window_s / _CELLS
        self._cells: deque[_Cell] = deque()
        self.requests = 0
        self.extras = 0

    def add(self, now: float, requests: int = 0, extras: int = 0) -> None:
        """Count something at a time that is not before the last one."""
        self.turn_to(now)
        number = int(now / self._cell_s)
        if not self._cells or self._cells[-1].number < number:
            self._cells.append(_Cell(number))
        cell = self._cells[-1]
        cell.requests += requests
        cell.extras += extras
        self.requests += requests
        self.extras += extras

    def turn_to(self, now: float) -> None:
        """Drop what has left the window."""
        oldest = int(now / self._cell_s) - _CELLS
        while self._cells and self._cells[0].number < oldest:
            cell = self._cells.popleft()
            self.requests -= cell.requests
            self.extras -= cell.extras
