"""Checks of a whole catalogue that a schema can't express."""

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
# Field and its text.
_Use = tuple[str, str]
# Service and position of the target.
_Place = tuple[str, int]


@dataclass(frozen=True)
class CrossFault:
    """A fault of one entry, perhaps because of another one."""

    # Kind and name of the faulty entry.
    kind: str
    name: str
    # Path within the entry, such as targets/0/address.
    path: str
    reason: str
    # Kind and name of an entry that is missing, if that is the fault.
    missing: tuple[str, str] | None = None


def list_cross_faults(catalogue: Catalogue) -> Iterator[CrossFault]:
    """Yield every fault of a catalogue whose entries are valid by themselves.

    The whole catalogue is checked, not only the changed entries, because a
    removal can break entries that stay.
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
    """Yield the faults of one entry, but for values that must be unique.

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
    if _is_each_unique(catalogue):
        return
    # Each name and each address, with the places that have it.
    uses: defaultdict[_Use, list[_Place]] = defaultdict(list)
    for service_name, service in catalogue.services.items():
        for position, target in enumerate(service.targets):
            place = (service_name, position)
            uses['name', target.name].append(place)
            uses['address', target.address].append(place)
    for (field, text), places in uses.items():
        if len(places) > 1:
            yield from _list_repeats(field, text, places)


def _is_each_unique(catalogue: Catalogue) -> bool:
    """Return whether names and addresses differ; the usual case is fast."""
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
    places: list[_Place],
) -> Iterator[CrossFault]:
    named = ', '.join(f'services/{name}/targets/{at}' for name, at in places)
    for service_name, position in places:
        yield CrossFault(
            'services',
            service_name,
            f'targets/{position}/{field}',
            f'{field} {text!r} is used more than once: {named}',
        )
