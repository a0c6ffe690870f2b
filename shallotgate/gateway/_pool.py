"""Connections to one target."""

import time

from shallotgate.aio import TargetLink


class LinkPool:
    """Open links to one target; the one used last is used next."""

    def __init__(self, address: str) -> None:
        self.address = address
        # Links that are open or being opened.
        self.size = 0
        self._idle: list[TargetLink] = []
        self._is_closed = False

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
        try:
            return await TargetLink.open(
                self.address,
                timeout_s,
                self._forget,
            )
        except BaseException:
            self.size -= 1
            raise

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
