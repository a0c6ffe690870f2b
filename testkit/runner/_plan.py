"""Declarative description of a deployment."""

import hashlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True)
class InstancePlan:
    """An instance of the tier and its roles."""

    name: str
    domain: str
    entry: bool = True
    control: bool = False

    def list_roles(self) -> list[str]:
        """Return the enabled roles under their names in the settings."""
        roles = {'entry': self.entry, 'control': self.control}
        return [role for role, enabled in roles.items() if enabled]


@dataclass(frozen=True)
class TargetPlan:
    """A target of a service."""

    name: str
    domain: str


@dataclass(frozen=True)
class ServicePlan:
    """A service whose targets all have the same limits and partitions."""

    name: str
    group: str
    owner: str
    targets: tuple[TargetPlan, ...]
    slots: int
    connections: int
    connect_ms: float
    service_ms: float = 5
    cold_slots: int = 1
    # Time for which a stand-in target stays cold after its start.
    cold_ms: float = 0
    # Partitions of the group in the first index version, and those that the
    # targets of this service hold.
    partitions: int = 1
    held: tuple[int, ...] = (0,)


@dataclass(frozen=True)
class CallerPlan:
    """A client account and its bearer key."""

    name: str
    owner: str
    key: str
    classes: tuple[str, ...]
    rate_per_s: float = 1000
    concurrent: int = 64


@dataclass(frozen=True)
class Deployment:
    """All instances, targets, client accounts and classes of one user."""

    region: str
    # Operator that owns the failure domains and the classes.
    owner: str
    instances: tuple[InstancePlan, ...]
    services: tuple[ServicePlan, ...]
    callers: tuple[CallerPlan, ...]
    # Class specs by class name, without the owner field.
    classes: Mapping[str, Mapping[str, Any]]
    # One-way latency between failure domains in milliseconds.
    cross_domain_latency_ms: float = 0
    # One-way latency to callers in milliseconds.
    caller_latency_ms: float = 0
    # Settings common to all instances.
    settings: Mapping[str, Any] = field(default_factory=dict)

    def list_domains(self) -> list[str]:
        """Return the distinct failure domains in order of first use."""
        members: list[InstancePlan | TargetPlan] = list(self.instances)
        for service in self.services:
            members.extend(service.targets)
        return list(dict.fromkeys(member.domain for member in members))

    def list_targets(self) -> Iterator[tuple[ServicePlan, TargetPlan]]:
        """Yield each target with its service."""
        for service in self.services:
            for target in service.targets:
                yield service, target


# Kind, name and spec.
_CatalogueEntry = tuple[str, str, Mapping[str, Any]]


def make_catalogue_edits(
    deployment: Deployment,
    addresses: Mapping[str, str],
) -> list[dict[str, Any]]:
    """Return the edits that install a deployment in an empty catalogue.

    ``addresses`` maps target names to addresses.
    """
    owner_field = {'owner': deployment.owner}
    specs: list[_CatalogueEntry] = [
        ('domains', name, owner_field | {'region': deployment.region})
        for name in deployment.list_domains()
    ]
    specs.extend(
        ('classes', name, owner_field | dict(policy))
        for name, policy in deployment.classes.items()
    )
    specs.extend(
        ('callers', caller.name, _make_caller_spec(caller))
        for caller in deployment.callers
    )
    specs.extend(
        ('services', service.name, _make_service_spec(service, addresses))
        for service in deployment.services
    )
    return [
        {'op': 'put', 'kind': kind, 'name': name, 'spec': dict(spec)}
        for kind, name, spec in specs
    ]


def _make_caller_spec(caller: CallerPlan) -> dict[str, Any]:
    return {
        'owner': caller.owner,
        'key_sha256': hashlib.sha256(caller.key.encode()).hexdigest(),
        'classes': list(caller.classes),
        'rate_per_s': caller.rate_per_s,
        'concurrent': caller.concurrent,
    }


def _make_service_spec(
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
