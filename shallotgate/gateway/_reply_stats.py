"""What this entry saw of targets and has not told the leader yet."""

import threading
from collections.abc import Callable

from shallotgate.generated.messages import ObservedReplies

# Replies that take longer count as this many times the usual: a short pause
# does not make a target slow, several such replies in a row do.
_MAX_SLOWNESS = 4.0

# A reply that takes this many times the usual is a sign of trouble.
_SLOW = 2.0
# Signs of trouble that the leader should hear of at once: single ones are
# normal.
_MIN_TROUBLES = 3


class ReplySums:
    """Sums over attempts, by target; used from several threads.

    >>> sums = ReplySums()
    >>> sums.add_reply('t-1', slowness=2)
    >>> sums.add_failure('t-1')
    >>> sums.take()
    ObservedReplies(targets=['t-1'], replies=[2], slowness=[2], failures=[1])
    >>> sums.take() is None
    True
    """

    def __init__(self, on_trouble: Callable[[], None] | None = None) -> None:
        """``on_trouble`` is called while several replies show trouble."""
        self._lock = threading.Lock()
        self._on_trouble = on_trouble
        # Slow replies and failures among the sums.
        self._troubles = 0
        # Replies, slowness and failures of a target.
        self._sums: dict[str, tuple[int, float, int]] = {}

    def add_reply(self, target: str, slowness: float) -> None:
        """Add a good reply; ``slowness`` is relative to the usual time."""
        self._add(target, min(slowness, _MAX_SLOWNESS), 0)

    def add_failure(self, target: str) -> None:
        """Add an attempt that failed or found no connection."""
        self._add(target, 0, 1)

    def take(self) -> ObservedReplies | None:
        """Return the sums and begin anew; None if there are none."""
        with self._lock:
            sums = self._sums
            self._sums = {}
            self._troubles = 0
        if not sums:
            return None
        return ObservedReplies(
            targets=list(sums),
            replies=[replies for replies, _, _ in sums.values()],
            slowness=[round(slowness, 1) for _, slowness, _ in sums.values()],
            failures=[failures for _, _, failures in sums.values()],
        )

    @property
    def is_troubled(self) -> bool:
        """Whether the leader should hear of the sums at once."""
        return self._troubles >= _MIN_TROUBLES

    def _add(self, target: str, slowness: float, failures: int) -> None:
        with self._lock:
            known = self._sums.get(target, (0, 0, 0))
            self._sums[target] = (
                known[0] + 1,
                known[1] + slowness,
                known[2] + failures,
            )
        if failures or slowness >= _SLOW:
            self._troubles += 1
            if self._on_trouble is not None and self.is_troubled:
                self._on_trouble()
