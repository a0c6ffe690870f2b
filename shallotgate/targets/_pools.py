"""Which targets this instance serves, and their pools."""

import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from shallotgate.generated.catalogue import Target
from shallotgate.generated.messages import Learnt
from shallotgate.membership import View
from shallotgate.targets._pool import TargetPool


@dataclass(frozen=True)
class TargetAssignment:
    """A target that this instance is to serve."""

    target: Target
    # Epoch of the ownership; 0 where targets have no owner.
    epoch: int
    # What the former owner learnt.
    learnt: Learnt | None


def list_assignments(
    view: View,
    owner: tuple[str, str] | None,
) -> dict[str, TargetAssignment]:
    """Return the targets to serve by name.

    ``owner`` is an instance and its start id, or None if each instance
    serves all targets.
    """
    if owner is None:
        return {
            name: TargetAssignment(place.target, 0, None)
            for name, place in view.places.items()
        }
    return {
        name: TargetAssignment(
            view.places[name].target,
            ownership.epoch,
            ownership.learnt,
        )
        for name, ownership in view.ownership.items()
        if ownership.state == 'held'
        and (ownership.instance, ownership.start_id) == owner
        and name in view.places
    }


class Pools:
    """Pools by target name; open ones and those being closed."""

    def __init__(self) -> None:
        self.is_stopping = False
        # Names of targets that the platform lists as leaving.
        self.leaving: frozenset[str] = frozenset()
        self._open: dict[str, TargetPool] = {}
        self._closing: dict[str, TargetPool] = {}
        self._changed = threading.Condition()

    def list_assignments(
        self,
        view: View,
        owner: tuple[str, str] | None,
    ) -> Mapping[str, TargetAssignment]:
        """Return the targets to serve by name; none while stopping."""
        return {} if self.is_stopping else list_assignments(view, owner)

    def get(self, name: str) -> TargetPool | None:
        """Return the open pool of a target."""
        return self._open.get(name)

    def list_open(self) -> list[TargetPool]:
        """Return the open pools."""
        with self._changed:
            return list(self._open.values())

    def list_all(self) -> list[TargetPool]:
        """Return the pools, with those being closed."""
        with self._changed:
            return [*self._open.values(), *self._closing.values()]

    def change(
        self,
        wanted: Mapping[str, TargetAssignment],
        make_pool: Callable[[TargetAssignment], TargetPool],
    ) -> tuple[list[TargetPool], list[TargetPool]]:
        """Return the pools to start and those to close.

        A target is opened again only after its former pool has closed.
        """
        with self._changed:
            doomed = [
                pool
                for name, pool in self._open.items()
                if name not in wanted or wanted[name].target != pool.target
            ]
            for pool in doomed:
                self._closing[pool.target.name] = pool
                self._open.pop(pool.target.name)
            missing = wanted.keys() - self._open.keys() - self._closing.keys()
            opened = {name: make_pool(wanted[name]) for name in missing}
            self._open.update(opened)
            for name, pool in self._open.items():
                pool.core.epoch = wanted[name].epoch
                pool.core.is_leaving = name in self.leaving
        return list(opened.values()), doomed

    def forget(self, pool: TargetPool) -> None:
        """Remove a pool whose threads have ended."""
        with self._changed:
            self._closing.pop(pool.target.name, None)
            self._changed.notify_all()

    def wait_closed(self, timeout_s: float) -> bool:
        """Wait until no pool is being closed."""
        with self._changed:
            return self._changed.wait_for(
                lambda: not self._closing,
                timeout_s,
            )
