"""Permission of one dispatch to use targets that state a limit."""

import time
from collections.abc import Callable, Sequence

from shallotgate.gateway._call import Call
from shallotgate.gateway._directory import Target
from shallotgate.gateway._dispatch_contexts import DispatchContext
from shallotgate.gateway._permits import LimitedChoice
from shallotgate.generated.messages import PermitRequest

# Time in seconds for which a permit is used. It bounds how many requests may
# shift into a later time.
_VALID_S = 0.25


def make_limited_choice(
    call: Call, needed: int, choices: Sequence[Sequence[Target]]
) -> LimitedChoice:
    """Return the question for permits of one request.

    ``choices`` are the targets to choose from, best first, for each shard;
    ``needed`` of them are required.
    """
    request = PermitRequest(
        scope=call.route.services[0],
        priority=call.priority,
        needed=needed,
        choices=[
            [target.listed.target for target in choice] for choice in choices
        ],
    )
    limits = {
        target.listed.target: target.limit_per_s or 0
        for choice in choices
        for target in choice
    }
    return LimitedChoice(request, limits)


def get_granted(choice: Sequence[Target], position: int) -> Target | None:
    """Return the granted target, or None if there is none.

    >>> get_granted((), -1) is None
    True
    """
    return choice[position] if 0 <= position < len(choice) else None


class SendPermit:
    """Acquires permits for the attempts of one dispatch."""

    def __init__(
        self,
        context: DispatchContext,
        call: Call,
        service: str,
        on_result: Callable[[], None],
    ) -> None:
        """``on_result`` is called when a question is answered."""
        self._context = context
        self._call = call
        self._service = service
        self._on_result = on_result
        # Whether a question is open, and whether an answer was not looked at.
        self.is_pending = False
        self.is_settled = False
        # Whether targets with a limit were denied to this dispatch.
        self.is_denied = False
        self._target: Target | None = None
        self._granted_at: float = 0

    def request(self, choice: Sequence[Target], *, is_extra: bool) -> None:
        """Request one of the targets, best first, for the next attempt."""
        if self.is_pending:
            return
        self.is_pending = True
        self._call.trace.add('asked_for_permit', service=self._service)
        self._context.permits.request(
            make_limited_choice(self._call, int(not is_extra), [choice]),
            lambda granted: self._handle_result(choice, granted),
        )

    def settle(self, target: Target | None) -> None:
        """Record the granted target; None if it was denied."""
        self._target = target
        self._granted_at = time.monotonic()
        self.is_denied = target is None
        if self.is_denied:
            self._call.trace.add('no_permit', service=self._service)
        self._context.on_event(
            'permit_denied' if self.is_denied else 'permit_granted'
        )

    def take(self) -> Target | None:
        """Return the target of an unused permit, which is used with this."""
        target = self._target
        self._target = None
        is_valid = time.monotonic() - self._granted_at < _VALID_S
        return target if is_valid else None

    def restore(self, target: Target) -> None:
        """Return the target of a permit that was taken and not used."""
        self._target = target

    def _handle_result(
        self, choice: Sequence[Target], granted: Sequence[int]
    ) -> None:
        self.is_pending = False
        self.is_settled = True
        self.settle(get_granted(choice, granted[0]))
        self._on_result()
