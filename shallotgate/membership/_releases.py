"""Targets that this instance has let go."""

import threading
from collections.abc import Mapping

from shallotgate.generated.messages import Ownership, Release


def _is_passed_on(release: Release, owned: Ownership | None) -> bool:
    """Return whether the target was granted again since the release."""
    if owned is None:
        return True
    return owned.epoch > release.epoch and owned.state == 'held'


class ReleaseList:
    """Keeps releases until the ownership shows that they were acted on.

    They are repeated in each heartbeat, so that neither a lost heartbeat nor
    a new leader leaves a target without an owner.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._releases: dict[str, Release] = {}

    def add(self, release: Release) -> None:
        """Add a release; a newer epoch replaces an older one."""
        with self._lock:
            former = self._releases.get(release.target)
            if former is None or former.epoch <= release.epoch:
                self._releases[release.target] = release

    def list_open(
        self,
        ownership: Mapping[str, Ownership],
    ) -> tuple[Release, ...]:
        """Return the releases that were not acted on yet."""
        with self._lock:
            for release in tuple(self._releases.values()):
                owned = ownership.get(release.target)
                if _is_passed_on(release, owned):
                    self._releases.pop(release.target)
            return tuple(self._releases.values())
