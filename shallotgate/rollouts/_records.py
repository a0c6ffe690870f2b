"""Replicated records of rollouts, and what each command changes in them."""

from collections.abc import Iterator
from typing import Literal

import msgspec

from shallotgate.generated.messages import (
    EndRollout,
    MarkRollout,
    ReadRollout,
    RecordVersions,
    RolloutStatus,
    StartRollout,
    StartRolloutOutcome,
)

RolloutCommand = (
    StartRollout | MarkRollout | EndRollout | RecordVersions | ReadRollout
)
ROLLOUT_COMMANDS = (
    StartRollout,
    MarkRollout,
    EndRollout,
    RecordVersions,
    ReadRollout,
)


class Rollout(msgspec.Struct, frozen=True):
    """The newest order on a service."""

    service: str
    # Log index of the order, which identifies it.
    order: int
    target_version: str
    # Version in force when the order came; empty if it was not known, which
    # stands for all but the target version.
    previous_version: str
    duration_s: float
    state: Literal['running', 'completed', 'rolled_back'] = 'running'
    # As of the last mark: seconds since the acceptance, requests sent to the
    # service since, and those that candidates got or may have got.
    elapsed_s: float = 0
    requests: int = 0
    exposed: int = 0
    is_judged_good: bool = False

    @property
    def is_running(self) -> bool:
        """Whether the order has not ended."""
        return self.state == 'running'


class RolloutRecords(msgspec.Struct, frozen=True):
    """Newest order and version in force of each service."""

    orders: tuple[Rollout, ...] = ()
    # Services and their versions in force. An empty version stands for a
    # service whose targets are used whatever their version.
    versions: tuple[tuple[str, str], ...] = ()

    def find(self, service: str) -> Rollout | None:
        """Return the newest order on a service."""
        for rollout in self.orders:
            if rollout.service == service:
                return rollout
        return None

    def iter_running(self) -> Iterator[Rollout]:
        """Yield the orders that have not ended."""
        return (each for each in self.orders if each.is_running)

    def get_version(self, service: str) -> str | None:
        """Return the version in force; None if none was recorded."""
        return dict(self.versions).get(service)


def apply_command(
    records: RolloutRecords, index: int, command: RolloutCommand
) -> tuple[RolloutRecords, object]:
    """Return the records after a command, and its outcome."""
    match command:
        case StartRollout():
            return _start(records, index, command)
        case MarkRollout():
            return _mark(records, command), None
        case EndRollout():
            return _end(records, command), None
        case RecordVersions():
            return _record_versions(records, command), None
    return records, _describe(records.find(command.service))


def _start(
    records: RolloutRecords, index: int, command: StartRollout
) -> tuple[RolloutRecords, StartRolloutOutcome]:
    known = records.find(command.service)
    order = known.order if known else 0
    if known and known.target_version == command.target_version:
        return records, StartRolloutOutcome(status='repeated', order=order)
    if known and known.is_running:
        return records, StartRolloutOutcome(status='in_progress', order=order)
    if command.base_order not in {-1, order}:
        return records, StartRolloutOutcome(status='outdated', order=order)
    previous = records.get_version(command.service) or ''
    rollout = Rollout(
        service=command.service,
        order=index,
        target_version=command.target_version,
        previous_version=previous,
        duration_s=command.duration_s,
        # Nothing has to move if the version is in force.
        state='completed' if previous == command.target_version else 'running',
    )
    return (
        _replace(records, rollout),
        StartRolloutOutcome(status='started', order=index),
    )


def _mark(records: RolloutRecords, command: MarkRollout) -> RolloutRecords:
    rollout = _find_running(records, command)
    if rollout is None or command.elapsed_s < rollout.elapsed_s:
        return records
    return _replace(
        records,
        msgspec.structs.replace(
            rollout,
            elapsed_s=command.elapsed_s,
            requests=max(rollout.requests, command.requests),
            exposed=max(rollout.exposed, command.exposed),
            is_judged_good=command.is_judged_good,
        ),
    )


def _end(records: RolloutRecords, command: EndRollout) -> RolloutRecords:
    rollout = _find_running(records, command)
    if rollout is None:
        return records
    records = _replace(
        records, msgspec.structs.replace(rollout, state=command.state)
    )
    if command.state != 'completed':
        return records
    return _put_version(records, rollout.service, rollout.target_version)


def _record_versions(
    records: RolloutRecords, command: RecordVersions
) -> RolloutRecords:
    for service, version in zip(
        command.services, command.versions, strict=True
    ):
        rollout = records.find(service)
        if rollout is None or not rollout.is_running:
            records = _put_version(records, service, version)
    return records


def _describe(rollout: Rollout | None) -> RolloutStatus:
    if rollout is None:
        return RolloutStatus(order=0)
    return RolloutStatus(
        order=rollout.order,
        state=rollout.state,
        target_version=rollout.target_version,
    )


def _find_running(
    records: RolloutRecords, command: MarkRollout | EndRollout
) -> Rollout | None:
    """Return the order of a command if it has not ended."""
    rollout = records.find(command.service)
    if rollout is None or rollout.order != command.order:
        return None
    return rollout if rollout.is_running else None


def _replace(records: RolloutRecords, rollout: Rollout) -> RolloutRecords:
    others = [
        each for each in records.orders if each.service != rollout.service
    ]
    return msgspec.structs.replace(records, orders=(*others, rollout))


def _put_version(
    records: RolloutRecords, service: str, version: str
) -> RolloutRecords:
    versions = {**dict(records.versions), service: version}
    return msgspec.structs.replace(
        records, versions=tuple(sorted(versions.items()))
    )
