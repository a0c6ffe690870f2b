"""Threads that run a step repeatedly."""

import random
import threading
from collections.abc import Callable
from typing import Self


class WorkerThreads:
    """Threads that run a step repeatedly, with pauses, until stopped."""

    def __init__(
        self,
        step: Callable[[random.Random], None],
        seed: int,
        count: int,
        pauses_s: tuple[float, float] = (0, 0),
    ) -> None:
        self.errors: list[str] = []
        self._step = step
        self._pauses_s = pauses_s
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._repeat,
                args=(random.Random(f'{seed}-{number}'),),
                daemon=True,
            )
            for number in range(count)
        ]

    def __enter__(self) -> Self:
        self.start()
        return self

    def __exit__(self, kind: object, *_: object) -> None:
        self.stop()
        if kind is None:
            self.check()

    def start(self) -> None:
        """Start all threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop and wait for the steps in progress."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def check(self) -> None:
        """Check that no step raised an error."""
        assert self.errors == []

    def _repeat(self, generator: random.Random) -> None:
        while not self._stopped.wait(generator.uniform(*self._pauses_s)):
            try:
                self._step(generator)
            except Exception as error:
                self.errors.append(repr(error))
