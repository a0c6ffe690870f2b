"""Builders of instance and service plans for deployments."""

from collections.abc import Iterator, Sequence

from testkit.runner import InstancePlan, ServicePlan, TargetPlan

_REPLICA_SUFFIXES = 'abcdefgh'


def list_instances(
    domains: Sequence[str],
    count: int,
    control: int,
) -> Iterator[InstancePlan]:
    """Yield entry instances, assigned to failure domains round-robin.

    The first ``control`` instances are also control members, each in a
    separate failure domain if there are enough.
    """
    for number in range(count):
        domain = domains[number % len(domains)]
        rank = number // len(domains) + 1
        yield InstancePlan(
            name=f'{domain}-{rank}',
            domain=domain,
            control=number < control,
        )


def list_shards(  # noqa: WPS211 - figures of the design page
    group: str,
    count: int,
    domains: Sequence[str],
    *,
    replicas: int,
    slots: int,
    connections: int,
    connect_ms: float,
) -> Iterator[ServicePlan]:
    """Yield one service for each partition of a group."""
    for number in range(count):
        name = f'{group}-{number + 1:02d}' if count > 1 else group
        yield ServicePlan(
            name=name,
            group=group,
            owner=group,
            targets=tuple(
                TargetPlan(
                    name=f'{name}-{_REPLICA_SUFFIXES[replica]}',
                    domain=domains[(number + replica) % len(domains)],
                )
                for replica in range(replicas)
            ),
            slots=slots,
            connections=connections,
            connect_ms=connect_ms,
            partitions=count,
            held=(number,),
        )
