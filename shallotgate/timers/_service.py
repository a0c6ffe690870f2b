"""Single-threaded timer service."""

import heapq
import itertools
import logging
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

_LOGGER = logging.getLogger('shallotgate.timers')

Callback = Callable[[], None]


@dataclass(order=True)
class Subscription:
    """A scheduled callback and its next due time."""

    # Next call, as monotonic time in seconds.
    due: float
    # Breaks ties between equal due times in subscription order.
    number: int
    callback: Callback = field(compare=False)
    # Seconds between calls; 0 for a single call.
    period_s: float = field(compare=False, default=0)
    cancelled: bool = field(compare=False, default=False)

    def cancel(self) -> None:
        """Prevent further calls; a call in progress still completes."""
        self.cancelled = True


class TimerService:
    """Runs callbacks at their due times on one thread.

    Callbacks must be short: a long one delays all others. A periodic callback
    that missed several periods, for example while the process was stopped,
    is called once, not once per missed period.
    """

    def __init__(self) -> None:
        self._sequence = itertools.count()
        self._heap: list[Subscription] = []
        self._changed = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run,
            name='timers',
            daemon=True,
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; no callback starts afterwards."""
        with self._changed:
            self._stopped = True
            self._changed.notify()
        if self._thread is not threading.current_thread():
            self._thread.join()

    def call_every(self, seconds: float, callback: Callback) -> Subscription:
        """Call ``callback`` every ``seconds``, first after ``seconds``."""
        return self._subscribe(seconds, callback, period_s=seconds)

    def call_after(self, seconds: float, callback: Callback) -> Subscription:
        """Call ``callback`` once after ``seconds``."""
        return self._subscribe(seconds, callback, period_s=0)

    def _subscribe(
        self,
        seconds: float,
        callback: Callback,
        period_s: float,
    ) -> Subscription:
        subscription = Subscription(
            due=time.monotonic() + seconds,
            number=next(self._sequence),
            callback=callback,
            period_s=period_s,
        )
        with self._changed:
            heapq.heappush(self._heap, subscription)
            self._changed.notify()
        return subscription

    def _run(self) -> None:
        while True:
            subscription = self._wait_for_due()
            if subscription is None:
                return
            self._call(subscription)

    def _wait_for_due(self) -> Subscription | None:
        with self._changed:
            while not self._stopped:
                if not self._heap:
                    self._changed.wait()
                    continue
                wait_s = self._heap[0].due - time.monotonic()
                if wait_s <= 0:
                    return heapq.heappop(self._heap)
                self._changed.wait(wait_s)
        return None

    def _call(self, subscription: Subscription) -> None:
        if subscription.cancelled:
            return
        try:
            subscription.callback()
        except Exception:
            _LOGGER.exception('timers: A callback failed.')
        if subscription.period_s and not subscription.cancelled:
            subscription.due = max(
                subscription.due + subscription.period_s,
                time.monotonic(),
            )
            with self._changed:
                heapq.heappush(self._heap, subscription)
