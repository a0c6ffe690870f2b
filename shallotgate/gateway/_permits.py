"""Client for requests to targets that state a limit."""

import random
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from shallotgate.gateway._leader_exchange import LeaderExchange, Patience
from shallotgate.generated.messages import (
    AskPermits,
    GrantPermits,
    PermitRequest,
)
from shallotgate.target_limits import FallbackShare

# A permit that comes later than the time-out is not used, so that requests do
# not shift into a later time. The back-off is short, because some requests
# can't be answered without the targets.
_PATIENCE = Patience(timeout_s=0.08, backoff_s=0.2)

# Called with the position of the granted target of each choice.
PermitCallback = Callable[[Sequence[int]], None]


@dataclass(frozen=True)
class LimitedChoice:
    """A request for targets, with their limits in requests a second."""

    request: PermitRequest
    limits: Mapping[str, float]


class PermitSource(Protocol):
    """Grants requests to targets that state a limit."""

    def request(self, choice: LimitedChoice, callback: PermitCallback) -> None:
        """Request permits; the callback is called exactly once.

        It may be called before this method returns.
        """


class PermitClient:
    """Requests permits from the leader, on the event loop.

    Without an answer it uses this entry's share of a small part of the limits.
    """

    def __init__(
        self,
        send: Callable[[AskPermits], bool],
        count_entries: Callable[[], int],
        generator: random.Random,
    ) -> None:
        """``send`` sends a message to the leader; False if none is known."""
        self._send = send
        self._count_entries = count_entries
        self._fallback = FallbackShare(generator)
        self._exchange: LeaderExchange[LimitedChoice, Sequence[int]] = (
            LeaderExchange(self._send_question, count_entries, _PATIENCE)
        )

    def request(self, choice: LimitedChoice, callback: PermitCallback) -> None:
        """Request permits; the callback is called exactly once.

        It may be called before this method returns.
        """

        def handle(granted: Sequence[int] | None) -> None:  # noqa: WPS430
            if granted is None:
                granted = self._grant_locally(choice)
            callback(granted)

        self._exchange.ask(choice, handle)

    def handle_grant(self, grant: GrantPermits) -> None:
        """Distribute the permits of a reply to the waiting callbacks."""
        if grant.leading:
            self._fallback.reset()
        answers = dict(enumerate(grant.granted if grant.leading else ()))
        for index, each in enumerate(self._exchange.finish(grant.number)):
            each.callback(answers.get(index))

    def _grant_locally(self, choice: LimitedChoice) -> Sequence[int]:
        return self._fallback.grant(
            choice.request,
            choice.limits,
            self._count_entries(),
            time.monotonic(),
        )

    def _send_question(
        self, number: int, choices: Sequence[LimitedChoice]
    ) -> bool:
        limits = {
            target: limit
            for choice in choices
            for target, limit in choice.limits.items()
        }
        return self._send(
            AskPermits(
                number=number,
                requests=[choice.request for choice in choices],
                limited=list(limits),
                limits=list(limits.values()),
            )
        )
