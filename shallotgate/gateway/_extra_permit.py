"""Permission of one dispatch to send an extra attempt."""

import time
from collections.abc import Callable

from shallotgate.gateway._dispatch_contexts import DispatchContext
from shallotgate.gateway._trace import RequestTrace


class ExtraPermit:
    """Acquires extra attempts from the local budget or from the leader."""

    def __init__(
        self,
        context: DispatchContext,
        service: str,
        trace: RequestTrace,
        on_result: Callable[[], None],
    ) -> None:
        """``on_result`` is called when the leader has replied."""
        self._context = context
        self._service = service
        self._trace = trace
        self._on_result = on_result
        # Whether a request for a grant is pending at the leader, and whether a
        # received grant is unused.
        self.is_pending = False
        self.is_granted = False

    def is_worthwhile(self, objective_ms: float) -> bool:
        """Return whether some target has room for an extra attempt."""
        context = self._context
        targets = context.list_open(self._service, objective_ms)
        if context.allows_extra(self._service, targets):
            return True
        self._trace.add('full', service=self._service)
        context.on_event('extra_shed')
        return False

    def acquire(self) -> bool:
        """Return whether an extra attempt may be sent now.

        Without a local budget a grant is requested, and the result arrives
        later.
        """
        context = self._context
        if self.is_granted:
            return True
        if context.budget.try_spend(time.monotonic()):
            return True
        if not self.is_pending:
            self.is_pending = True
            self._trace.add('asked_for_extra', service=self._service)
            context.retry_grants.request(self._service, self._handle_result)
        return False

    def expire(self) -> None:
        """Give up a grant that was used or cannot be used now."""
        self.is_granted = False

    def _handle_result(self, is_granted: bool) -> None:
        """Handle the result of a request for a grant."""
        self.is_pending = False
        self.is_granted = is_granted
        if not is_granted:
            self._trace.add('no_budget', service=self._service)
        self._context.on_event('extra_lent' if is_granted else 'extra_denied')
        self._on_result()
