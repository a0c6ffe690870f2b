"""Targets that this instance has let go."""

import threading
from collections.abc import Iterator, Mapping

from shallotgate.generated.messages import Owner, Ownership, Release
from shallotgate.membership._view import View


def _is_settled(release: Release, view: View, is_leaving: bool) -> bool:
    """Return whether a release has been acted on, or is none.

    A target that is held here at the release's epoch and is in the catalogue
    is only closed to be opened again, for instance with another address. Such
    a release must not be told to the leader, unless this instance leaves.
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
    """Yield releases of targets that were moved before they were held here.

    A grant and a move can both lie between two views. Then no part of this
    process has seen the target as its own, so none would release it.
    """
    for owned in after.values():
        is_own = owned.instance == owner.instance
        is_own = is_own and owned.start_id == owner.start_id
        if not is_own or owned.state != 'moving':
            continue
        former = before.get(owned.target)
        # The epoch of a move is one above that of the holding.
        if former is None or former.epoch < owned.epoch - 1:
            yield Release(target=owned.target, epoch=owned.epoch)


class PendingReleases:
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

    def list_pending(self, view: View, is_leaving: bool) -> tuple[Release, ...]:
        """Return the releases to tell, and forget those that are settled."""
        with self._lock:
            for release in tuple(self._releases.values()):
                if _is_settled(release, view, is_leaving):
                    self._releases.pop(release.target)
            return tuple(self._releases.values())
