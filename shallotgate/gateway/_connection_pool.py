"""Connections to one target."""

import asyncio
import time

from shallotgate.aio import TargetConnection

_MS_PER_S = 1000
# Assumed time to open a connection before one was opened, in milliseconds.
_INITIAL_OPEN_MS = 5.0
# Weight of the newest time in the average.
_NEWEST_PART = 0.3


class ConnectionPool:
    """Open connections to one target; the one used last is used next."""

    def __init__(self, address: str) -> None:
        self.address = address
        # Links that are open or being opened.
        self.size = 0
        self._open_ms = _INITIAL_OPEN_MS
        self._idle: list[TargetConnection] = []
        # How often each connection was given back to be kept for a time.
        self._uses: dict[TargetConnection, int] = {}
        self._is_closed = False

    @property
    def acquire_ms(self) -> float:
        """Time until a request can be sent, in milliseconds."""
        return 0 if self._idle else self._open_ms

    def acquire_idle(self) -> TargetConnection | None:
        """Return the most recently used idle connection, if any."""
        now = time.monotonic()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable and now < connection.keep_alive_until:
                return connection
            connection.close()
        return None

    async def open(self, timeout_s: float) -> TargetConnection:
        """Open another connection; raises ``TargetConnectError``."""
        self.size += 1
        begun_at = time.monotonic()
        try:
            connection = await TargetConnection.open(
                self.address,
                timeout_s,
                self._forget,
            )
        except BaseException:
            self.size -= 1
            raise
        opened_ms = (time.monotonic() - begun_at) * _MS_PER_S
        self._open_ms += (opened_ms - self._open_ms) * _NEWEST_PART
        return connection

    def release(
        self, connection: TargetConnection, idle_timeout_s: float | None
    ) -> None:
        """Return a connection to the pool if it can be reused.

        It is closed after being idle for ``idle_timeout_s``; None means no
        limit.
        """
        if self._is_closed or not connection.is_usable:
            connection.close()
            return
        self._idle.append(connection)
        if idle_timeout_s is not None:
            uses = self._uses.get(connection, 0) + 1
            self._uses[connection] = uses
            loop = asyncio.get_running_loop()
            loop.call_later(
                idle_timeout_s, self._close_unused, connection, uses
            )

    def close(self) -> None:
        """Close idle connections now and active ones when released."""
        self._is_closed = True
        idle = self._idle
        self._idle = []
        for connection in idle:
            connection.close()

    def _close_unused(self, connection: TargetConnection, uses: int) -> None:
        if self._uses.get(connection) == uses and connection in self._idle:
            connection.close()

    def _forget(self, connection: TargetConnection) -> None:
        self.size -= 1
        self._uses.pop(connection, None)
        if connection in self._idle:
            self._idle.remove(connection)
