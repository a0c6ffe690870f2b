"""Settings and operator key files of a deployment."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from types import MappingProxyType
from typing import Any

from ruamel.yaml import YAML

from testkit.runner._plan import Deployment, InstancePlan

# Bearer tokens of test and example operators; ``admin`` is the administrator.
OPERATOR_TOKENS: Mapping[str, str] = MappingProxyType(
    {
        'admin': 'example-token-of-admin',
        'platform': 'example-token-of-platform',
    }
)


@dataclass(frozen=True)
class Addresses:
    """Listen addresses and peer routes of an instance."""

    peer: str
    caller: str
    operator: str
    # Overrides of the peer addresses of other instances, by instance name.
    routes: Mapping[str, str] = field(default_factory=dict)


def make_settings(
    deployment: Deployment,
    instance: InstancePlan,
    addresses: Mapping[str, Addresses],
) -> dict[str, Any]:
    """Return the settings of an instance; ``addresses`` is by instance."""
    listen = addresses[instance.name]
    settings: dict[str, Any] = {
        'instance': instance.name,
        'domain': instance.domain,
        'roles': instance.list_roles(),
        'peer_address': listen.peer,
        'caller_address': listen.caller,
        'operator_address': listen.operator,
        'operator_keys': 'operators.yaml',
        'control_members': [
            {'instance': member.name, 'address': addresses[member.name].peer}
            for member in deployment.instances
            if member.control
        ],
    }
    if instance.control:
        settings |= {'data_folder': f'data/{instance.name}', 'bootstrap': True}
    if listen.routes:
        settings['peer_routes'] = dict(listen.routes)
    return settings | dict(deployment.settings)


def write_settings(
    folder: Path,
    deployment: Deployment,
    addresses: Mapping[str, Addresses],
) -> None:
    """Write ``INSTANCE.yaml`` to the folder for each instance."""
    for instance in deployment.instances:
        settings = make_settings(deployment, instance, addresses)
        dump_yaml(folder / f'{instance.name}.yaml', settings)


def write_keys(folder: Path, owners: Iterable[str] = ()) -> None:
    """Write the operator keys file; each owner gets a separate token."""
    tokens = dict(OPERATOR_TOKENS)
    for owner in owners:
        tokens.setdefault(owner, f'example-token-of-{owner}')
    operators = [
        {'name': name, 'token': token, 'administrator': name == 'admin'}
        for name, token in tokens.items()
    ]
    dump_yaml(folder / 'operators.yaml', {'operators': operators})


def dump_yaml(path: Path, content: object) -> None:
    """Write a YAML file with keys in insertion order."""
    yaml = YAML(typ='safe', pure=True)
    yaml.default_flow_style = False
    yaml.sort_base_mapping_type_on_output = False  # type: ignore[assignment]
    with path.open('w', encoding='utf-8') as stream:
        yaml.dump(content, stream)
