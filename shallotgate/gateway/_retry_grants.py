"""Asks the leader for extra attempts beyond the own share."""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from shallotgate.generated.messages import AskExtras, GrantExtras
from shallotgate.logs import get_logger

_LOGGER = get_logger('borrower')
# Wait for the leader, in seconds: its answer takes a round trip between
# domains and a few milliseconds of work. Later an extra attempt would not be
# back before most objectives.
_WAIT_S = 0.04
# Pause after a leader that did not answer, in seconds: an election takes
# about as long.
_PAUSE_S = 0.4
# Least time between two messages, in seconds for each entry of the tier, so
# that a leader gets 5,000 a second at most: its own work for one takes 9 us,
# the transport some ten times that.
_GAP_PER_ENTRY_S = 0.0002

OnAnswer = Callable[[bool], None]


class ExtraLender(Protocol):
    """Lends extra attempts on services."""

    def ask(self, service: str, on_answer: OnAnswer) -> None:
        """Ask for one attempt; called back once, maybe at once."""


class ExtraBorrower:
    """Asks for all that is wanted at a time in one message.

    Used on the event loop.
    """

    def __init__(
        self,
        send: Callable[[AskExtras], bool],
        count_entries: Callable[[], int],
    ) -> None:
        """``send`` hands a message to the leader; False if none is known."""
        self._send = send
        self._count_entries = count_entries
        self._number = 0
        # Who waits for an answer to the message under way, by service.
        self._asked: dict[str, list[OnAnswer]] = {}
        # Who waits for the next message.
        self._waiting: dict[str, list[OnAnswer]] = {}
        self._timer: asyncio.TimerHandle | None = None
        # Monotonic times.
        self._next_at = float('-inf')
        self._paused_until = float('-inf')

    def ask(self, service: str, on_answer: OnAnswer) -> None:
        """Ask for one attempt; called back once, maybe at once."""
        if time.monotonic() < self._paused_until:
            on_answer(False)
            return
        self._waiting.setdefault(service, []).append(on_answer)
        if self._timer is None:
            self._set_timer(max(self._next_at - time.monotonic(), 0))

    def accept(self, granted: GrantExtras) -> None:
        """Take up an answer of the leader."""
        if granted.number != self._number or not self._asked:
            # It came after the wait; what it grants is not used.
            return
        asked = self._asked
        self._stop_waiting()
        for callbacks, count in zip(
            asked.values(),
            granted.counts,
            strict=True,
        ):
            for place, on_answer in enumerate(callbacks):
                on_answer(place < count)

    def _set_timer(self, after_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(after_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._asked:
            _LOGGER.info('The leader lent nothing in time.')
            self._paused_until = time.monotonic() + _PAUSE_S
            self._refuse()
        elif self._waiting:
            self._send_ask()

    def _send_ask(self) -> None:
        self._asked = self._waiting
        self._waiting = {}
        self._number += 1
        now = time.monotonic()
        self._next_at = now + self._count_entries() * _GAP_PER_ENTRY_S
        ask = AskExtras(
            number=self._number,
            services=list(self._asked),
            counts=[len(callbacks) for callbacks in self._asked.values()],
        )
        if self._send(ask):
            self._set_timer(_WAIT_S)
        else:
            self._refuse()

    def _refuse(self) -> None:
        asked = self._asked
        self._stop_waiting()
        for callbacks in asked.values():
            for on_answer in callbacks:
                on_answer(False)

    def _stop_waiting(self) -> None:
        """End the message under way and get ready for the next one."""
        self._asked = {}
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._waiting:
            self._set_timer(max(self._next_at - time.monotonic(), 0))
