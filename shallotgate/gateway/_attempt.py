"""One attempt of a request on one target."""

import asyncio
import time
from collections.abc import Callable

from shallotgate.aio import Reply, TargetLink
from shallotgate.errors import TargetConnectError, TargetError
from shallotgate.gateway._call import Call
from shallotgate.gateway._directory import Target
from shallotgate.gateway._wire import ReplyFacts, Wire

# Longest wait for a connection, in seconds; a target that is up accepts
# within milliseconds.
_CONNECT_S = 1.0
# Time within which a connection is usually open, in milliseconds: a round trip
# between domains and the work of the target for it, several times over.
_CONNECT_USUAL_MS = 50
# A reply that nobody needs any more is waited for this long, in seconds, so
# that its connection can be used again. After that the connection is closed,
# which cancels the work; callers that leave must free targets within 0.5 s.
_LINGER_S = 0.25
_MS_PER_S = 1000


class Attempt:
    """Sends a request to a target and settles its connection afterwards."""

    def __init__(
        self,
        wire: Wire,
        call: Call,
        target: Target,
        on_reply: Callable[['Attempt', float], None],
        keep_link_s: float | None,
    ) -> None:
        """Start it; its link is kept idle for a time, None without limit."""
        self.target = target
        self.started_at = time.monotonic()
        # Whether the target may have seen the request.
        self.is_sent = False
        self._wire = wire
        self._call = call
        self._on_reply = on_reply
        self._keep_link_s = keep_link_s
        self._link: TargetLink | None = None
        self._is_cut = False
        # What the reply says; None before it has come.
        self._facts: ReplyFacts | None = None
        target.health.in_flight[self] = self.started_at
        self.future = self._begin()
        self.future.add_done_callback(self._settle)

    def abandon(self) -> None:
        """Give up: wait for the reply a little, then cancel the work."""
        if self.future.done():
            return
        if not self.is_sent:
            self.future.cancel()
            return
        loop = asyncio.get_running_loop()
        loop.call_later(_LINGER_S, self._cut)

    def read_facts(self, reply: Reply) -> ReplyFacts:
        """Return what the reply says about itself and its target."""
        if self._facts is None:
            self._facts = self._wire.read_reply(reply)
        return self._facts

    def _begin(self) -> 'asyncio.Future[Reply]':
        link = self.target.pool.take_idle()
        if link is not None:
            return self._send(link)
        return asyncio.ensure_future(self._connect_and_send())

    async def _connect_and_send(self) -> Reply:
        timeout_s = min(_CONNECT_S, max(self._call.left_s(), 0))
        link = await self.target.pool.open(timeout_s)
        return await self._send(link)

    def _send(self, link: TargetLink) -> 'asyncio.Future[Reply]':
        call = self._call
        self._link = link
        self.is_sent = True
        return link.send(
            self._wire.make_attempt(
                call.caller,
                call.content.body,
                call.left_ms(),
                self.target.listed.target,
            ),
            lambda headers: self._wire.is_own(headers, call.caller.request_id),
        )

    def _cut(self) -> None:
        if not self.future.done() and self._link is not None:
            self._is_cut = True
            self._link.close()

    def _settle(self, future: 'asyncio.Future[Reply]') -> None:
        """Note what the attempt tells about its target; keep its link."""
        health = self.target.health
        health.in_flight.pop(self, None)
        duration_ms = (time.monotonic() - self.started_at) * _MS_PER_S
        if future.cancelled():
            self._settle_given_up(duration_ms)
            return
        error = future.exception()
        if error is None:
            self._note_reply(future.result(), duration_ms)
        elif isinstance(error, TargetConnectError):
            self.target.note_connect_failure()
        elif self._is_cut:
            # The reply would have taken at least this long.
            self._on_reply(self, duration_ms)
        elif isinstance(error, TargetError):
            self.target.note_failure()
        if self._link is not None:
            self.target.pool.give_back(self._link, self._keep_link_s)

    def _settle_given_up(self, duration_ms: float) -> None:
        if self._link is not None:
            self._link.close()
        elif duration_ms > _CONNECT_USUAL_MS:
            # The target left the opening of the connection unanswered.
            self.target.note_failure()

    def _note_reply(self, reply: Reply, duration_ms: float) -> None:
        health = self.target.health
        facts = self.read_facts(reply)
        if facts.load is not None:
            health.note_load(facts.load)
        if facts.signature and reply.status < 300:
            self._on_reply(self, duration_ms)
        else:
            self.target.note_failure()
