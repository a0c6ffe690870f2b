"""View of the shared state on an instance."""

import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Protocol

from shallotgate.generated.catalogue import Catalogue, Service, Target
from shallotgate.generated.messages import (
    InstanceRecord,
    Judgement,
    Ownership,
    Versions,
)
from shallotgate.invariants import check
from shallotgate.state import covers


@dataclass(frozen=True)
class TargetPlace:
    """Catalogue entry of a target with its service."""

    # Name of its service.
    service_name: str
    service: Service
    target: Target


@dataclass(frozen=True)
class View:
    """Consistent snapshot of the shared state."""

    catalogue: Catalogue
    # By target name.
    ownership: Mapping[str, Ownership]
    # By digest.
    quarantine: Mapping[str, Judgement]
    # Live instances by id.
    instances: Mapping[str, InstanceRecord]
    versions: Versions
    # Places of all targets by target name; derived from the catalogue.
    places: Mapping[str, TargetPlace] = field(default_factory=dict)

    def is_taken_out(self, domain: str) -> bool:
        """Return whether operators took a failure domain out of service."""
        entry = self.catalogue.domains.get(domain)
        return entry is not None and entry.taken_out


def list_places(catalogue: Catalogue) -> Mapping[str, TargetPlace]:
    """Index the targets of a catalogue by name."""
    return MappingProxyType(
        {
            target.name: TargetPlace(name, service, target)
            for name, service in catalogue.services.items()
            for target in service.targets
        }
    )


EMPTY_VIEW = View(
    catalogue=Catalogue(version=0),
    ownership=MappingProxyType({}),
    quarantine=MappingProxyType({}),
    instances=MappingProxyType({}),
    versions=Versions(),
)


class TierView:
    """Holds the current view and notifies subscribers of changes."""

    def __init__(self) -> None:
        self._view = EMPTY_VIEW
        self._lock = threading.Lock()
        self._subscribers: list[Callable[[View], None]] = []

    def current(self) -> View:
        """Return the current view."""
        return self._view

    def subscribe(self, callback: Callable[[View], None]) -> None:
        """Register a callback, run on the thread that applies a view."""
        self._subscribers.append(callback)

    def replace(self, view: View) -> None:
        """Replace the view; versions must not decrease."""
        with self._lock:
            previous = self._view.versions
            replacement = view.versions
            if not check(
                covers(replacement, previous),
                'versions-only-upwards',
                before=previous,
                after=replacement,
            ):
                return
            self._view = view
        for callback in self._subscribers:
            callback(view)


class Lease(Protocol):
    """The lease of this instance."""

    def remaining_s(self) -> float:
        """Return the time left in seconds; no new work at 0 or less."""
