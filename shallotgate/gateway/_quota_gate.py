"""Limits of accounts in the path of a request."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from shallotgate.account_limits import AccountAdmission, QuotaDecision
from shallotgate.gateway._call import Call


@dataclass(frozen=True)
class QuotaPlace:
    """Place of a call within the limit of its account, or the lack of one."""

    # Seconds until there is room for a call that was refused; None for a call
    # that may be sent.
    refused_s: float | None = None
    # Admission that granted the place; None if none was needed.
    admission: AccountAdmission | None = None
    # Monotonic time.
    admitted_at: float = 0

    def settle(self, call: Call) -> None:
        """Give the place back if no target can have run the call."""
        is_run = any(dispatch.sent_count for dispatch in call.dispatches)
        if self.admission and call.account and not is_run:
            self.admission.give_back(call.account, self.admitted_at)


class QuotaGate:
    """Admits calls within the limits of their accounts, on the event loop."""

    def __init__(self) -> None:
        # Without it no limit is enforced.
        self.admission: AccountAdmission | None = None

    @asynccontextmanager
    async def hold(self, call: Call) -> AsyncIterator[QuotaPlace]:
        """Hold a place while a call is being served.

        It is given back if no target can have run the call, also if the caller
        has left.
        """
        place = await self._acquire(call)
        try:
            yield place
        finally:
            place.settle(call)

    async def _acquire(self, call: Call) -> QuotaPlace:
        """Return the place of a call, which may wait for the leader."""
        admission = self.admission
        account = call.account
        if admission is None or account is None or account.rate_per_s <= 0:
            return QuotaPlace()
        answer: asyncio.Future[QuotaDecision] = (
            asyncio.get_running_loop().create_future()
        )

        def settle(decision: QuotaDecision) -> None:  # noqa: WPS430
            if not answer.done():
                answer.set_result(decision)
            elif decision.is_admitted:
                # The caller left meanwhile.
                admission.give_back(account, time.monotonic())

        admission.request(account, settle)
        decision = await answer
        call.trace.add(
            'quota',
            account=account.name,
            admitted=decision.is_admitted,
            decided_by=decision.decided_by,
        )
        if not decision.is_admitted:
            return QuotaPlace(refused_s=decision.retry_after_s)
        return QuotaPlace(admission=admission, admitted_at=time.monotonic())
