"""Connections to one target."""

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

    def give_back(self, link: TargetLink) -> None:
        """Keep a link for the next request, if it can be used again."""
        if link.is_usable and not self._is_closed:
            self._idle.append(link)
        else:
            link.close()

    def close(self) -> None:
        """Close the idle links; links in use are closed when given back."""
        self._is_closed = True
        idle = self._idle
        self._idle = []
        for link in idle:
            link.close()

    def _forget(self, link: TargetLink) -> None:
        self.size -= 1
        if link in self._idle:
            self._idle.remove(link)
