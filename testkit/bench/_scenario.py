"""Scenario files of the bench."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
from ruamel.yaml import YAML

_FOLDER = Path(__file__).parent / 'scenarios'


@dataclass(frozen=True)
class Event:
    """Something done to the deployment while load runs."""

    # Seconds after the start of the measured load.
    at_s: float
    # Name of an action; see ``testkit.bench._actions``.
    action: str
    # What it is done to: an instance, a target, a failure domain.
    subject: str = ''
    # Value of the action, for instance a factor.
    amount: float = 0


@dataclass(frozen=True)
class Scenario:
    """One experiment."""

    name: str
    # What it shows, in one sentence.
    purpose: str
    duration_s: float
    # Offered load as a share of the targets' capacity.
    load: float
    # Services in the group that is queried.
    services: int = 10
    # Class of the queries.
    class_name: str = 'teller'
    # Share of queries whose content was sent before.
    repeated: float = 0
    # Targets start cold and grow to their slots under load in this time.
    warm_up_s: float = 15
    # Time of one attempt on a target in milliseconds.
    service_ms: float = 60
    entries: int = 6
    # Whether the control members are processes of their own.
    separate_control: bool = False
    # Seconds that a stand-in target stays cold after its start.
    cold_s: float = 0
    events: Sequence[Event] = field(default_factory=list)
    # Names of phases by the second at which they begin.
    phases: Mapping[str, float] = field(default_factory=lambda: {'all': 0})


def load_scenario(name: str) -> Scenario:
    """Read ``scenarios/NAME.yaml``."""
    content: Any = YAML(typ='safe').load(_FOLDER / f'{name}.yaml')
    return msgspec.convert({'name': name, **content}, Scenario)


def list_scenarios() -> list[str]:
    """Return the names of all scenario files.

    >>> 'steady' in list_scenarios()
    True
    """
    return sorted(path.stem for path in _FOLDER.glob('*.yaml'))
