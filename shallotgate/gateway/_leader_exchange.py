"""Batched questions of an entry to the leader."""

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from shallotgate.logs import get_logger

_LOGGER = get_logger('borrower')
# Minimum interval between two questions, in seconds for each entry of the tier.
# Limits a leader to 5,000 questions a second: it spends 9 us on each, and the
# transport about ten times that.
_INTERVAL_PER_ENTRY_S = 0.0002

_ItemT = TypeVar('_ItemT')
_AnswerT = TypeVar('_AnswerT')


@dataclass(frozen=True)
class Patience:
    """Times to wait for the leader, in seconds."""

    # Time-out of a question.
    timeout_s: float
    # Time after a time-out in which nothing is asked.
    backoff_s: float


@dataclass(frozen=True)
class Waiting(Generic[_ItemT, _AnswerT]):
    """An item and the callback for its answer; None if there is none."""

    item: _ItemT
    callback: Callable[[_AnswerT | None], None]


class LeaderExchange(Generic[_ItemT, _AnswerT]):
    """Sends the items that arrive while a question is open in one message.

    Used on the event loop.
    """

    def __init__(
        self,
        send: Callable[[int, Sequence[_ItemT]], bool],
        count_entries: Callable[[], int],
        patience: Patience,
    ) -> None:
        """``send`` sends a numbered question; False if no leader is known."""
        self._send = send
        self._count_entries = count_entries
        self._patience = patience
        self._number = 0
        self._in_flight: list[Waiting[_ItemT, _AnswerT]] = []
        self._waiting: list[Waiting[_ItemT, _AnswerT]] = []
        self._timer: asyncio.TimerHandle | None = None
        # Monotonic times in seconds.
        self._next_send_at = float('-inf')
        self._backoff_until = float('-inf')

    def ask(
        self, item: _ItemT, callback: Callable[[_AnswerT | None], None]
    ) -> None:
        """Ask about an item; the callback is called exactly once.

        It may be called before this method returns.
        """
        if time.monotonic() < self._backoff_until:
            callback(None)
            return
        self._waiting.append(Waiting(item, callback))
        if self._timer is None:
            self._set_timer(max(self._next_send_at - time.monotonic(), 0))

    def finish(self, number: int) -> Sequence[Waiting[_ItemT, _AnswerT]]:
        """Return the items of an answered question.

        Empty after the time-out: what a late answer grants expires unused.
        """
        if number != self._number:
            return ()
        in_flight = self._in_flight
        self._in_flight = []
        if in_flight and self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if in_flight and self._waiting:
            self._set_timer(max(self._next_send_at - time.monotonic(), 0))
        return in_flight

    def _set_timer(self, after_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(after_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._in_flight:
            _LOGGER.info('The leader did not answer in time.')
            self._backoff_until = time.monotonic() + self._patience.backoff_s
            self._give_up()
        elif self._waiting:
            self._send_question()

    def _send_question(self) -> None:
        self._in_flight = self._waiting
        self._waiting = []
        self._number += 1
        now = time.monotonic()
        self._next_send_at = now + self._count_entries() * _INTERVAL_PER_ENTRY_S
        if self._send(self._number, [each.item for each in self._in_flight]):
            self._set_timer(self._patience.timeout_s)
        else:
            self._give_up()

    def _give_up(self) -> None:
        for each in self.finish(self._number):
            each.callback(None)
