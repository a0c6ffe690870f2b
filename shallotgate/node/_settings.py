"""Settings of a process, read from YAML."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Any

import msgspec

from shallotgate.errors import Finding, SettingsError
from shallotgate.extras import RetryBudgetPolicy
from shallotgate.generated.node import NodeSettings

# Smallest accepted values, as stated in the schema.
_MINIMUMS: Mapping[str, int] = MappingProxyType(
    {
        'tolerated_losses': 0,
        'max_reply_bytes': 1,
        'max_reply_head_bytes': 1024,
        'max_buffered_reply_bytes': 1,
        'machine_memory_bytes': 0,
        'machine_descriptors': 0,
        'max_caller_connections': 0,
        'max_caller_incomplete': 0,
        'max_caller_bytes': 0,
        'caller_progress_timeout_ms': 1000,
        'caller_receive_buffer_bytes': 4096,
    }
)


def load_node_settings(path: Path) -> NodeSettings:
    """Read and check settings; raises ``SettingsError``."""
    try:
        text = path.read_text()
    except OSError as error:
        raise SettingsError([Finding(str(path), '', str(error))]) from error
    try:
        settings = msgspec.convert(_parse(text), type=NodeSettings)
    except msgspec.MsgspecError as error:
        raise SettingsError([Finding(str(path), '', str(error))]) from error
    findings = [
        Finding(str(path), key, f'must be at least {minimum}')
        for key, minimum in _MINIMUMS.items()
        if _is_below(getattr(settings, key), minimum)
    ]
    if findings:
        raise SettingsError(findings)
    return settings


def _is_below(value: int | None, minimum: int) -> bool:
    """Return whether a value is stated and too small."""
    return value is not None and value < minimum


def list_seeds(settings: NodeSettings) -> Sequence[str]:
    """Return the peer addresses of the seeds.

    >>> settings = NodeSettings(name='a', domain='d',
    ...     peer_address='10.0.0.1:7740', seeds=['10.0.0.2:8224'])
    >>> list_seeds(settings)
    ['10.0.0.2:7740']
    """
    port = settings.peer_address.rpartition(':')[2]
    return [f'{seed.partition(":")[0]}:{port}' for seed in settings.seeds]


def get_listen_address(settings: NodeSettings) -> str:
    """Return the host and port to listen on for other instances.

    >>> get_listen_address(NodeSettings(name='a', domain='d', seeds=[],
    ...     peer_address='10.0.0.1:7740'))
    '10.0.0.1:7740'
    """
    return settings.listen_address or settings.peer_address


def get_retry_budget_policy(settings: NodeSettings) -> RetryBudgetPolicy:
    """Return the retry budget policy of each service."""
    return RetryBudgetPolicy(
        settings.extra_ratio,
        settings.extra_slack,
        settings.extra_window_s,
    )


def _parse(text: str) -> Any:
    if text.lstrip().startswith('{'):
        # JSON is valid YAML; this avoids loading a YAML parser.
        return msgspec.json.decode(text)
    from ruamel.yaml import YAML  # noqa: PLC0415, WPS433

    return YAML(typ='safe').load(text)
