"""Asks the leader for permits to use candidates, on the event loop."""

import asyncio
import time
from collections.abc import Callable

from shallotgate.generated.messages import AskExposure, GrantExposure
from shallotgate.rollouts import ASK_INTERVAL_S, ExposureTracker


class ExposureClient:
    """Asks at a fixed interval while an order is running.

    A question without an answer needs no time-out: permits expire by
    themselves, and the next question states everything again.
    """

    def __init__(
        self, send: Callable[[AskExposure], bool], tracker: ExposureTracker
    ) -> None:
        """``send`` sends a message to the leader; False if none is known."""
        self._send = send
        self._tracker = tracker
        self._timer: asyncio.TimerHandle | None = None

    def follow(self) -> None:
        """Ask from now on, if an order is running."""
        if self._timer is None and self._tracker.is_active:
            self._ask()

    def handle_grant(self, grant: GrantExposure) -> None:
        """Take the permits of an answer."""
        self._tracker.handle_grant(grant)

    def _ask(self) -> None:
        self._timer = None
        ask = self._tracker.make_ask(time.monotonic())
        if ask is None:
            return
        self._send(ask)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(ASK_INTERVAL_S, self._ask)
