"""Polling of the configuration versions of instances."""

import threading
import time
from collections import Counter
from dataclasses import dataclass

from tests.support._control import is_serving
from tests.support._timeouts import PROPAGATION_BOUND_S, WAIT_TIMEOUT_S

_POLL_S = 0.05


@dataclass(frozen=True)
class VersionSample:
    """Readiness and configuration version of an instance."""

    instance: str
    # Monotonic time before the first request was sent.
    asked_at: float
    # Whether the caller address was ready.
    ready: bool
    version: int


class ConfigurationPoller:
    """Polls each instance on a separate thread.

    Readiness is read before the version. As versions only grow, an instance
    that was ready had at most the version that is read afterwards.
    """

    def __init__(self, tier):
        self._tier = tier
        self._stopped = threading.Event()
        self.samples = []
        self._threads = [
            threading.Thread(target=self._poll, args=(name,), daemon=True)
            for name in tier.instances
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._stopped.set()
        for thread in self._threads:
            thread.join(WAIT_TIMEOUT_S)

    def _poll(self, name):
        while not self._stopped.wait(_POLL_S):
            asked_at = time.monotonic()
            ready = is_serving(self._tier, name)
            version = self._tier.clients.read_version(name)
            if version >= 0:
                sample = VersionSample(name, asked_at, ready, version)
                self.samples.append(sample)

    def list_violations(self, version, accepted_at):
        """Return the samples that violate G10 for an accepted version."""
        late = [
            sample
            for sample in self.samples
            if sample.ready
            and sample.version < version
            and sample.asked_at > accepted_at + PROPAGATION_BOUND_S
        ]
        return late + list(self._list_regressions())

    def _list_regressions(self):
        highest = Counter()
        for sample in self.samples:
            # Version 0 means that a restarted process has no catalogue yet.
            if 0 < sample.version < highest[sample.instance]:
                yield sample
            highest[sample.instance] = max(
                highest[sample.instance],
                sample.version,
            )
