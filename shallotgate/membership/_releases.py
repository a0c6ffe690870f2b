"""Releases of targets by this instance."""

import threading
from collections.abc import Iterator, Mapping

from shallotgate.generated.messages import Owner, Ownership, Release
from shallotgate.membership._view import View


def _is_settled(release: Release, view: View, is_leaving: bool) -> bool:
    """Return whether a release was processed or is obsolete.

    A catalogued target that is held at the epoch of the release is only being
    reopened, for instance at another address. The leader must not receive
    such a release, unless this instance is leaving.
    """
    owned = view.ownership.get(release.target)
    if owned is None:
        return True
    if owned.state != 'held':
        return False
    if owned.epoch != release.epoch:
        return owned.epoch > release.epoch
    return release.target in view.places and not is_leaving


def list_unopened_releases(
    before: Mapping[str, Ownership],
    after: Mapping[str, Ownership],
    owner: Owner,
) -> Iterator[Release]:
    """Yield releases of targets that were moved before they were opened.

    A grant and a move can both occur between two views. The target was then
    never opened in this process, so nothing else would release it.
    """
    for owned in after.values():
        is_owner = owned.instance == owner.instance
        is_owner = is_owner and owned.start_id == owner.start_id
        if not is_owner or owned.state != 'moving':
            continue
        previous = before.get(owned.target)
        # A move increments the epoch of the preceding grant.
        if previous is None or previous.epoch < owned.epoch - 1:
            yield Release(target=owned.target, epoch=owned.epoch)


class PendingReleases:
    """Stores releases until the ownership shows that they were processed.

    They are repeated in every heartbeat, so that a lost heartbeat or a new
    leader does not leave a target without an owner.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._releases: dict[str, Release] = {}

    def add(self, release: Release) -> None:
        """Add a release; a newer epoch replaces an older one."""
        with self._lock:
            previous = self._releases.get(release.target)
            if previous is None or previous.epoch <= release.epoch:
                self._releases[release.target] = release

    def list_pending(self, view: View, is_leaving: bool) -> tuple[Release, ...]:
        """Return the releases to send, and drop the settled ones."""
        with self._lock:
            for release in tuple(self._releases.values()):
                if _is_settled(release, view, is_leaving):
                    self._releases.pop(release.target)
            return tuple(self._releases.values())
