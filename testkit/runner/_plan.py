"""Description of a deployment, from which processes are started."""

import hashlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True)
class InstancePlan:
    """One instance."""

    name: str
    domain: str
    entry: bool = True
    control: bool = False

    def list_roles(self) -> list[str]:
        """Return the roles as settings name them."""
        roles = {'entry': self.entry, 'control': self.control}
        return [role for role, held in roles.items() if held]


@dataclass(frozen=True)
class TargetPlan:
    """One target of a service."""

    name: str
    domain: str


@dataclass(frozen=True)
class ServicePlan:
    """One service; all its targets are alike."""

    name: str
    group: str
    owner: str
    targets: tuple[TargetPlan, ...]
    slots: int
    connections: int
    connect_ms: float
    service_ms: float = 5
    cold_slots: int = 1
    # Time after the start during which a stand-in is cold.
    cold_ms: float = 0
    # Partitions of the group in the first index version and those held here.
    partitions: int = 1
    held: tuple[int, ...] = (0,)


@dataclass(frozen=True)
class CallerPlan:
    """One caller and its bearer key."""

    name: str
    owner: str
    key: str
    classes: tuple[str, ...]
    rate_per_s: float = 1000
    concurrent: int = 64


@dataclass(frozen=True)
class Deployment:
    """Everything that runs for one user."""

    region: str
    # Operator who owns the failure domains and the classes.
    owner: str
    instances: tuple[InstancePlan, ...]
    services: tuple[ServicePlan, ...]
    callers: tuple[CallerPlan, ...]
    # Specs of the classes by name, without their owner.
    classes: Mapping[str, Mapping[str, Any]]
    # One-way latency between failure domains in milliseconds.
    cross_domain_latency_ms: float = 0
    # One-way latency to callers in milliseconds.
    caller_latency_ms: float = 0
    # Settings that all instances share.
    settings: Mapping[str, Any] = field(default_factory=dict)

    def list_domains(self) -> list[str]:
        """Return the failure domains in order of their first use."""
        places: list[InstancePlan | TargetPlan] = list(self.instances)
        for service in self.services:
            places.extend(service.targets)
        return list(dict.fromkeys(place.domain for place in places))

    def list_targets(self) -> Iterator[tuple[ServicePlan, TargetPlan]]:
        """Yield each target with its service."""
        for service in self.services:
            for target in service.targets:
                yield service, target


# Kind, name and spec.
_Entry = tuple[str, str, Mapping[str, Any]]


def make_catalogue_edits(
    deployment: Deployment,
    addresses: Mapping[str, str],
) -> list[dict[str, Any]]:
    """Return the edits that put a deployment into an empty catalogue.

    ``addresses`` has the address of each target by its name.
    """
    owned = {'owner': deployment.owner}
    specs: list[_Entry] = [
        ('domains', name, owned | {'region': deployment.region})
        for name in deployment.list_domains()
    ]
    specs.extend(
        ('classes', name, owned | dict(policy))
        for name, policy in deployment.classes.items()
    )
    specs.extend(
        ('callers', caller.name, _make_caller(caller))
        for caller in deployment.callers
    )
    specs.extend(
        ('services', service.name, _make_service(service, addresses))
        for service in deployment.services
    )
    return [
        {'op': 'put', 'kind': kind, 'name': name, 'spec': dict(spec)}
        for kind, name, spec in specs
    ]


def _make_caller(caller: CallerPlan) -> dict[str, Any]:
    return {
        'owner': caller.owner,
        'key_sha256': hashlib.sha256(caller.key.encode()).hexdigest(),
        'classes': list(caller.classes),
        'rate_per_s': caller.rate_per_s,
        'concurrent': caller.concurrent,
    }


def _make_service(
    service: ServicePlan,
    addresses: Mapping[str, str],
) -> dict[str, Any]:
    common = {
        'slots': service.slots,
        'connections': service.connections,
        'connect_ms': service.connect_ms,
        'cold_slots': service.cold_slots,
    }
    targets = [
        {
            'name': target.name,
            'address': addresses[target.name],
            'domain': target.domain,
        }
        | common
        for target in service.targets
    ]
    return {
        'owner': service.owner,
        'group': service.group,
        'targets': targets,
    }
