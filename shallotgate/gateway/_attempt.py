"""Single attempt of a request on one target."""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from shallotgate.aio import Reply, TargetConnection
from shallotgate.errors import (
    ReplyLimitError,
    TargetConnectError,
    TargetError,
    TargetLostError,
    TargetProtocolError,
)
from shallotgate.gateway._call import Call
from shallotgate.gateway._directory import Target
from shallotgate.gateway._wire import ReplyMetadata, WireCodec
from shallotgate.logs import get_logger

_LOGGER = get_logger('gateway')

# Connect timeout in seconds; a healthy target accepts within milliseconds.
_CONNECT_TIMEOUT_S = 1.0
# Upper end of a normal connect time, in milliseconds: several times the round
# trip between failure domains plus the work of accepting.
_TYPICAL_CONNECT_MS = 50
# Seconds to wait for the reply of an abandoned attempt, so that its connection
# can be reused. Closing the connection afterwards cancels the work; targets
# must be freed within 0.5 s of the caller disconnecting.
_ABANDON_GRACE_S = 0.25
_MS_PER_S = 1000


class ReplyRecorder(Protocol):
    """Takes the results of attempts."""

    def record_reply(self, target: Target, duration_ms: float) -> None:
        """Record the duration of a reply, or a lower bound of it."""

    def record_result(
        self, target: Target, duration_ms: float, connect_ms: float
    ) -> None:
        """Count a good reply, for the comparison of versions.

        The duration is that without the time to set up the connection.
        """

    def record_failed_reply(self, target: Target) -> None:
        """Count a reply that is a failure, for the same comparison."""


class Attempt:
    """Sends a request to a target and releases its connection afterwards."""

    def __init__(
        self,
        wire: WireCodec,
        call: Call,
        target: Target,
        recorder: ReplyRecorder,
        get_idle_timeout_s: Callable[[Target], float | None],
        on_statements: Callable[[Target, ReplyMetadata], None],
    ) -> None:
        """Start the attempt.

        ``get_idle_timeout_s`` returns how long its connection is kept idle
        afterwards; None means no limit. ``on_statements`` takes what the target
        states of itself in its reply.
        """
        self.target = target
        self.started_at = time.monotonic()
        # Whether the target may have received the request.
        self.is_sent = False
        self._wire = wire
        self._call = call
        self._recorder = recorder
        self._get_idle_timeout_s = get_idle_timeout_s
        self._on_statements = on_statements
        self._connection: TargetConnection | None = None
        # Monotonic time at which the request was sent.
        self._sent_at: float = 0
        # Time to set up the connection; 0 for one that was used before.
        self._connect_ms: float = 0
        self._is_aborted = False
        # Whether the connection took too long to wait for it.
        self._is_connect_overdue = False
        # Decoded lazily; None before the reply has arrived.
        self._metadata: ReplyMetadata | None = None
        target.health.in_flight[self] = self.started_at
        self.future = self._begin()
        self.future.add_done_callback(self._settle)

    def abandon(self) -> None:
        """Cancel the attempt after a grace period for the reply."""
        if self.future.done():
            return
        if not self.is_sent:
            self.future.cancel()
            return
        loop = asyncio.get_running_loop()
        loop.call_later(_ABANDON_GRACE_S, self._abort)

    def stop_connecting(self) -> None:
        """Cancel an attempt whose connection takes unusually long."""
        self._is_connect_overdue = True
        self.future.cancel()

    def read_metadata(self, reply: Reply) -> ReplyMetadata:
        """Return the decoded metadata of the reply."""
        if self._metadata is None:
            self._metadata = self._wire.decode_reply(reply)
        return self._metadata

    def _begin(self) -> 'asyncio.Future[Reply]':
        connection = self.target.pool.acquire_idle()
        if connection is not None:
            return self._send(connection)
        return asyncio.ensure_future(self._connect_and_send())

    async def _connect_and_send(self) -> Reply:
        timeout_s = min(_CONNECT_TIMEOUT_S, max(self._call.remaining_s(), 0))
        connection = await self.target.pool.open(timeout_s)
        self._connect_ms = self.target.pool.acquire_ms
        return await self._send(connection)

    def _send(self, connection: TargetConnection) -> 'asyncio.Future[Reply]':
        call = self._call
        self._connection = connection
        self.is_sent = True
        self._sent_at = time.monotonic()
        return connection.send(
            self._wire.encode_attempt(
                call.caller,
                call.content.body,
                call.remaining_ms(),
                self.target.listed.target,
            ),
            lambda headers: self._wire.matches_request(
                headers, call.caller.request_id
            ),
            call.reply_limits,
        )

    def _abort(self) -> None:
        if not self.future.done() and self._connection is not None:
            self._is_aborted = True
            self._connection.close()

    def _settle(self, future: 'asyncio.Future[Reply]') -> None:
        """Record the result in the target health; release the connection."""
        health = self.target.health
        health.in_flight.pop(self, None)
        duration_ms = (time.monotonic() - self.started_at) * _MS_PER_S
        if future.cancelled():
            self._settle_cancelled(duration_ms)
            return
        error = future.exception()
        if error is None:
            self._handle_reply(future.result(), duration_ms)
        elif isinstance(error, TargetConnectError):
            self.target.record_connect_failure()
        elif self._is_aborted:
            # Lower bound: the reply would have taken at least this long.
            self._record_good(duration_ms)
        elif isinstance(error, TargetError):
            self._handle_failure(error)
        if self._connection is not None:
            # Asked at the end, when it is known which connections are left.
            idle_timeout_s = self._get_idle_timeout_s(self.target)
            self.target.pool.release(self._connection, idle_timeout_s)

    def _handle_failure(self, error: TargetError) -> None:
        if isinstance(error, TargetLostError):
            self.target.record_lost()
        else:
            self.target.record_failure()
        if isinstance(error, (TargetProtocolError, ReplyLimitError)):
            self._recorder.record_failed_reply(self.target)
        if isinstance(error, ReplyLimitError):
            _LOGGER.warning(
                'Reply aborted: %s.',
                error,
                extra={
                    'target': self.target.listed.target,
                    'id': self._call.caller.request_id.decode('latin-1'),
                },
            )

    def _settle_cancelled(self, duration_ms: float) -> None:
        if self._connection is not None:
            self._connection.close()
        elif self._is_connect_overdue or duration_ms > _TYPICAL_CONNECT_MS:
            # The target did not accept the connection in a normal time.
            self.target.record_failure()

    def _handle_reply(self, reply: Reply, duration_ms: float) -> None:
        metadata = self.read_metadata(reply)
        if not metadata.is_misdirected:
            self._on_statements(self.target, metadata)
        if metadata.signature and reply.status < 300:
            self._record_good(duration_ms)
            return
        self.target.record_failure()
        if not (metadata.is_misdirected or metadata.is_not_run):
            self._recorder.record_failed_reply(self.target)

    def _record_good(self, duration_ms: float) -> None:
        self._recorder.record_reply(self.target, duration_ms)
        sent_ms = (time.monotonic() - self._sent_at) * _MS_PER_S
        self._recorder.record_result(self.target, sent_ms, self._connect_ms)
