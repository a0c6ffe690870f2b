"""Catalogue checks across entries, which a schema can't express."""

from collections import defaultdict
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from shallotgate.generated.catalogue import (
    Caller,
    Catalogue,
    ClassPolicy,
    Service,
    Target,
)

_MAX_PORT = 65535
# Field and its value.
_UniqueValue = tuple[str, str]
# Name of the service and index of the target.
_TargetPosition = tuple[str, int]


@dataclass(frozen=True)
class CrossFault:
    """A fault of one entry, possibly caused by another entry."""

    # Kind and name of the faulty entry.
    kind: str
    name: str
    # Path within the entry, such as targets/0/address.
    path: str
    reason: str
    # Kind and name of the missing entry, if the fault is a dangling reference.
    missing: tuple[str, str] | None = None


def list_cross_faults(catalogue: Catalogue) -> Iterator[CrossFault]:
    """Yield every fault of a catalogue whose entries each match the schema.

    The whole catalogue is checked, not only the changed entries, because a
    removal can invalidate entries that refer to the removed one.
    """
    kinds = {
        'callers': catalogue.callers,
        'classes': catalogue.classes,
        'services': catalogue.services,
        'domains': catalogue.domains,
    }
    first_by_key: dict[str, str] = {}
    for caller_name, caller in catalogue.callers.items():
        first = first_by_key.setdefault(caller.key_sha256, caller_name)
        if first != caller_name:
            reason = f'same key as caller {first!r}'
            yield CrossFault('callers', caller_name, 'key_sha256', reason)
        yield from list_entry_faults('callers', caller_name, caller, kinds)
    for kind in ('classes', 'services'):
        for name, entry in kinds[kind].items():
            yield from list_entry_faults(kind, name, entry, kinds)
    yield from _check_repeated_targets(catalogue)


def list_entry_faults(
    kind: str,
    name: str,
    entry: Any,
    kinds: Mapping[str, Mapping[str, Any]],
) -> Iterator[CrossFault]:
    """Yield the faults of one entry, except for repeated unique values.

    ``kinds`` are the entries of the catalogue by kind and name.
    """
    if kind == 'callers':
        yield from _check_caller(name, entry, kinds['classes'])
    elif kind == 'classes':
        yield from _check_class(name, entry)
    elif kind == 'services':
        yield from _check_service(name, entry, kinds['domains'])


def _check_caller(
    name: str,
    caller: Caller,
    classes: Collection[str],
) -> Iterator[CrossFault]:
    for position, class_name in enumerate(caller.classes):
        if class_name not in classes:
            yield CrossFault(
                'callers',
                name,
                f'classes/{position}',
                f'unknown class {class_name!r}',
                ('classes', class_name),
            )


def _check_class(name: str, policy: ClassPolicy) -> Iterator[CrossFault]:
    is_late = policy.soft_limit_ms > policy.deadline_ms
    if policy.mode == 'latency' and is_late:
        yield CrossFault(
            'classes',
            name,
            'soft_limit_ms',
            f'{policy.soft_limit_ms} is more than the deadline of '
            + f'{policy.deadline_ms} ms',
        )


def _check_service(
    name: str,
    service: Service,
    domains: Collection[str],
) -> Iterator[CrossFault]:
    for position, target in enumerate(service.targets):
        if target.domain not in domains:
            yield CrossFault(
                'services',
                name,
                f'targets/{position}/domain',
                f'unknown domain {target.domain!r}',
                ('domains', target.domain),
            )
        for field, reason in _check_target(target):
            path = f'targets/{position}/{field}'
            yield CrossFault('services', name, path, reason)


def _check_target(target: Target) -> Iterator[tuple[str, str]]:
    port = int(target.address.rpartition(':')[2])
    if not 0 < port <= _MAX_PORT:
        yield 'address', f'port {port} is not between 1 and {_MAX_PORT}'
    if target.cold_slots > target.slots:
        yield (
            'cold_slots',
            f'{target.cold_slots} is more than the {target.slots} slots',
        )


def _check_repeated_targets(catalogue: Catalogue) -> Iterator[CrossFault]:
    if _has_unique_targets(catalogue):
        return
    # Positions of the targets that use each name and each address.
    positions_by_value: defaultdict[_UniqueValue, list[_TargetPosition]] = (
        defaultdict(list)
    )
    for service_name, service in catalogue.services.items():
        for position, target in enumerate(service.targets):
            target_position = (service_name, position)
            positions_by_value['name', target.name].append(target_position)
            positions_by_value['address', target.address].append(
                target_position
            )
    for (field, text), target_positions in positions_by_value.items():
        if len(target_positions) > 1:
            yield from _list_repeats(field, text, target_positions)


def _has_unique_targets(catalogue: Catalogue) -> bool:
    """Return whether names and addresses are unique; a fast path."""
    targets = [
        target
        for service in catalogue.services.values()
        for target in service.targets
    ]
    names = {target.name for target in targets}
    addresses = {target.address for target in targets}
    return len(names) == len(targets) == len(addresses)


def _list_repeats(
    field: str,
    text: str,
    target_positions: list[_TargetPosition],
) -> Iterator[CrossFault]:
    locations = ', '.join(
        f'services/{name}/targets/{index}' for name, index in target_positions
    )
    for service_name, position in target_positions:
        yield CrossFault(
            'services',
            service_name,
            f'targets/{position}/{field}',
            f'{field} {text!r} is used more than once: {locations}',
        )
