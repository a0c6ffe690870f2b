"""State of a given size."""

import itertools

from shallotgate.codec import encode_json, encode_tagged
from shallotgate.generated.catalogue import Change, Edit
from shallotgate.generated.messages import (
    ChangeCatalogue,
    GrantOwners,
    InstanceRecord,
    Owner,
    OwnerGrant,
    TargetState,
    TargetVersion,
)
from shallotgate.state import TierState

_DOMAINS = 16
_REPLICAS = 3
_SERVICES_PER_CHANGE = 900
# 2026-09-22T00:00:00Z, the time in the change ids.
_EPOCH_START = 1_790_035_200


class StateBuilder:
    """Applies commands to a state and counts them."""

    def __init__(self) -> None:
        self.state = TierState()
        self._indexes = itertools.count(1)

    def apply(self, command: object) -> object:
        """Apply one command."""
        return self.state.apply(next(self._indexes), encode_tagged(command))

    def change(self, edits: list[Edit]) -> bytes:
        """Change the catalogue and return the encoded command."""
        number = next(self._indexes)
        change = Change(
            change_id=f'20260922T000000Z-{number:012d}',
            base_version=self.state.read().versions.catalogue,
            edits=edits,
            reason='measurement',
        )
        command = ChangeCatalogue(
            operator='admin',
            administrator=True,
            change=encode_json(change),
            time=float(_EPOCH_START),
        )
        verdict = self.apply(command)
        if getattr(verdict, 'outcome', '') != 'accepted':
            raise AssertionError(f'not accepted: {verdict}')
        return encode_tagged(command)

    def fill(self, targets: int, owners: int) -> None:
        """Put services with three targets each into the state.

        Without owners nothing is granted.
        """
        self.change([make_domain_edit(number) for number in range(_DOMAINS)])
        services = [
            make_service_edit(number) for number in range(targets // _REPLICAS)
        ]
        for first in range(0, len(services), _SERVICES_PER_CHANGE):
            self.change(services[first : first + _SERVICES_PER_CHANGE])
        if owners:
            self._grant(targets // _REPLICAS * _REPLICAS, owners)

    def _grant(self, targets: int, owners: int) -> None:
        self.apply(
            GrantOwners(
                time=float(_EPOCH_START),
                grants=[
                    OwnerGrant(
                        target=f'service-{number // _REPLICAS:06d}-'
                        f'{number % _REPLICAS}',
                        epoch=0,
                        owner=Owner(
                            instance=f'entry-{number % owners:05d}',
                            start_id='0123456789abcdef',
                        ),
                    )
                    for number in range(targets)
                ],
            ),
        )


def make_domain_edit(number: int) -> Edit:
    """Return an edit that puts a failure domain."""
    return Edit(
        op='put',
        kind='domains',
        name=f'domain-{number:02d}',
        spec={'owner': 'platform', 'region': f'region-{number % 5}'},
    )


def make_service_edit(number: int, slots: int = 3) -> Edit:
    """Return an edit that puts a service with three targets."""
    return Edit(
        op='put',
        kind='services',
        name=f'service-{number:06d}',
        spec={
            'owner': 'search',
            'group': f'group-{number // 220:04d}',
            'targets': [
                {
                    'name': f'service-{number:06d}-{replica}',
                    'address': _make_address(number, replica),
                    'domain': f'domain-{(number + replica) % _DOMAINS:02d}',
                    'slots': slots,
                    'connections': 30,
                    'connect_ms': 6.0,
                }
                for replica in range(_REPLICAS)
            ],
        },
    )


def make_record(number: int) -> InstanceRecord:
    """Return an instance as the leader lists it."""
    return InstanceRecord(
        instance=f'entry-{number:05d}',
        start_id='0123456789abcdef',
        domain=f'domain-{number % _DOMAINS:02d}',
        address='10.0.0.1:7000',
        operator_address='10.0.0.1:7001',
        caller_address='10.0.0.1:7002',
        roles=('entry',),
        readiness='ready',
    )


def make_target_state(number: int) -> TargetState:
    """Return what an owner reports of one target."""
    return TargetState(
        target=f'service-{number:06d}-0',
        epoch=7,
        limit=3,
        in_flight=2,
        queued=1,
        queue_ms=4.5,
        latency_ms=6.25,
        cold=False,
        draining=False,
        lost=False,
        versions=(
            TargetVersion(index_version=41, partitions=220, held=(7,)),
            TargetVersion(index_version=42, partitions=220, held=(7,)),
        ),
    )


def _make_address(number: int, replica: int) -> str:
    return f'10.{replica}.{number // 250}.{number % 250 + 1}:8000'
