"""Client for extra attempts granted by the leader."""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from shallotgate.generated.messages import AskExtras, GrantExtras
from shallotgate.logs import get_logger

_LOGGER = get_logger('borrower')
# Timeout of a request in seconds. The leader needs a round trip between failure
# domains and a few milliseconds of work; an attempt granted later would miss
# most latency objectives.
_REQUEST_TIMEOUT_S = 0.04
# Back-off after an unanswered request, in seconds: about the duration of an
# election.
_BACKOFF_S = 0.4
# Minimum interval between two requests, in seconds for each entry of the tier.
# Limits a leader to 5,000 requests a second: it spends 9 us on each, and the
# transport about ten times that.
_INTERVAL_PER_ENTRY_S = 0.0002

GrantCallback = Callable[[bool], None]


class RetryGrantSource(Protocol):
    """Grants extra attempts on services."""

    def request(self, service: str, callback: GrantCallback) -> None:
        """Request one attempt; the callback is called exactly once.

        It may be called before this method returns.
        """


class RetryGrantClient:
    """Batches concurrent requests for grants into one message.

    Used on the event loop.
    """

    def __init__(
        self,
        send: Callable[[AskExtras], bool],
        count_entries: Callable[[], int],
    ) -> None:
        """``send`` sends a message to the leader; False if none is known."""
        self._send = send
        self._count_entries = count_entries
        self._number = 0
        # Callbacks of the request in flight, by service.
        self._in_flight: dict[str, list[GrantCallback]] = {}
        # Callbacks of the next request, by service.
        self._waiting: dict[str, list[GrantCallback]] = {}
        self._timer: asyncio.TimerHandle | None = None
        # Monotonic times in seconds.
        self._next_send_at = float('-inf')
        self._backoff_until = float('-inf')

    def request(self, service: str, callback: GrantCallback) -> None:
        """Request one attempt; the callback is called exactly once.

        It may be called before this method returns.
        """
        if time.monotonic() < self._backoff_until:
            callback(False)
            return
        self._waiting.setdefault(service, []).append(callback)
        if self._timer is None:
            self._set_timer(max(self._next_send_at - time.monotonic(), 0))

    def handle_grant(self, grant: GrantExtras) -> None:
        """Distribute the grants of a reply to the waiting callbacks."""
        if grant.number != self._number or not self._in_flight:
            # A reply after the timeout; its grants expire unused.
            return
        in_flight = self._in_flight
        self._finish_request()
        for callbacks, count in zip(
            in_flight.values(),
            grant.counts,
            strict=True,
        ):
            for position, callback in enumerate(callbacks):
                callback(position < count)

    def _set_timer(self, after_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(after_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._in_flight:
            _LOGGER.info('Request for extra attempts timed out.')
            self._backoff_until = time.monotonic() + _BACKOFF_S
            self._deny()
        elif self._waiting:
            self._send_request()

    def _send_request(self) -> None:
        self._in_flight = self._waiting
        self._waiting = {}
        self._number += 1
        now = time.monotonic()
        self._next_send_at = now + self._count_entries() * _INTERVAL_PER_ENTRY_S
        request = AskExtras(
            number=self._number,
            services=list(self._in_flight),
            counts=[len(callbacks) for callbacks in self._in_flight.values()],
        )
        if self._send(request):
            self._set_timer(_REQUEST_TIMEOUT_S)
        else:
            self._deny()

    def _deny(self) -> None:
        in_flight = self._in_flight
        self._finish_request()
        for callbacks in in_flight.values():
            for callback in callbacks:
                callback(False)

    def _finish_request(self) -> None:
        """Finish the request in flight and schedule the next one."""
        self._in_flight = {}
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._waiting:
            self._set_timer(max(self._next_send_at - time.monotonic(), 0))
