"""TCP fault proxy on a thread of the test process."""

import asyncio
import threading
from collections.abc import Coroutine
from types import TracebackType
from typing import Any, Self, TypeVar

from testkit.proxy._faults import HEALTHY, Fault
from testkit.proxy._link import Link

_CALL_LIMIT_S = 10
_T = TypeVar('_T')


class FaultProxy:
    """Named links, each with a listening port and a fault of its own.

    >>> with FaultProxy() as proxy:
    ...     address = proxy.add_link('a>b', '127.0.0.1:9')
    ...     proxy.set_fault('a>b', Fault(drop_forward=True))
    ...     proxy.heal('a>b')
    >>> address.startswith('127.0.0.1:')
    True
    """

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._links: dict[str, Link] = {}
        self._thread = threading.Thread(
            target=self._loop.run_forever,
            name='fault-proxy',
            daemon=True,
        )

    def __enter__(self) -> Self:
        self.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Reset all connections and end the thread."""
        if not self._thread.is_alive():
            return
        for link in self._links.values():
            self._await(link.close())
        self._await(self._cancel_tasks())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_CALL_LIMIT_S)
        self._loop.close()

    def add_link(
        self,
        name: str,
        upstream: str,
        resting: Fault = HEALTHY,
        listen: str = '127.0.0.1:0',
    ) -> str:
        """Open a link to an address and return the address to dial."""
        link = Link(upstream, resting)
        address = self._await(link.listen(listen))
        self._links[name] = link
        return address

    def list_links(self) -> tuple[str, ...]:
        """Return the names of all links."""
        return tuple(self._links)

    def set_fault(self, name: str, fault: Fault) -> None:
        """Put a fault in force on a link."""
        self._await(self._links[name].apply(fault))

    def silence(self, name: str) -> None:
        """Silence the open connections of a link for good."""
        self._await(self._links[name].silence())

    def heal(self, *names: str) -> None:
        """Restore the named links, or all."""
        for name in names or self._links:
            self.set_fault(name, self._links[name].resting)

    def _await(self, coroutine: Coroutine[Any, Any, _T]) -> _T:
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(_CALL_LIMIT_S)

    async def _cancel_tasks(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
