"""Connections to one target."""

import asyncio
import time

from shallotgate.aio import TargetLink

_MS_PER_S = 1000
# Assumed time to open a link before one was opened, in milliseconds.
_INITIAL_OPEN_MS = 5.0
# Weight of the newest time in the average.
_NEWEST_PART = 0.3


class LinkPool:
    """Open links to one target; the one used last is used next."""

    def __init__(self, address: str) -> None:
        self.address = address
        # Links that are open or being opened.
        self.size = 0
        self._open_ms = _INITIAL_OPEN_MS
        self._idle: list[TargetLink] = []
        # How often each link was given back to be kept for a time.
        self._uses: dict[TargetLink, int] = {}
        self._is_closed = False

    @property
    def wait_ms(self) -> float:
        """Time until a request can be sent, in milliseconds."""
        return 0 if self._idle else self._open_ms

    def take_idle(self) -> TargetLink | None:
        """Return an open link without a request, None if there is none."""
        now = time.monotonic()
        while self._idle:
            link = self._idle.pop()
            if link.is_usable and now < link.kept_until:
                return link
            link.close()
        return None

    async def open(self, timeout_s: float) -> TargetLink:
        """Open another link; raises ``TargetConnectError``."""
        self.size += 1
        begun_at = time.monotonic()
        try:
            link = await TargetLink.open(
                self.address,
                timeout_s,
                self._forget,
            )
        except BaseException:
            self.size -= 1
            raise
        opened_ms = (time.monotonic() - begun_at) * _MS_PER_S
        self._open_ms += (opened_ms - self._open_ms) * _NEWEST_PART
        return link

    def give_back(self, link: TargetLink, keep_s: float | None) -> None:
        """Keep a link for the next request, if it can be used again.

        It is closed when it was idle for ``keep_s``; None is without limit.
        """
        if self._is_closed or not link.is_usable:
            link.close()
            return
        self._idle.append(link)
        if keep_s is not None:
            uses = self._uses.get(link, 0) + 1
            self._uses[link] = uses
            loop = asyncio.get_running_loop()
            loop.call_later(keep_s, self._close_unused, link, uses)

    def close(self) -> None:
        """Close the idle links; links in use are closed when given back."""
        self._is_closed = True
        idle = self._idle
        self._idle = []
        for link in idle:
            link.close()

    def _close_unused(self, link: TargetLink, uses: int) -> None:
        if self._uses.get(link) == uses and link in self._idle:
            link.close()

    def _forget(self, link: TargetLink) -> None:
        self.size -= 1
        self._uses.pop(link, None)
        if link in self._idle:
            self._idle.remove(link)
