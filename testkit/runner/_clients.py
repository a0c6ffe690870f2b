"""HTTP clients for a running deployment."""

from collections.abc import Collection, Mapping
from typing import Any

from shallotgate.cli import (
    HttpClient,
    ServerUnreachableError,
    UnknownOutcomeError,
    make_timestamped_id,
)
from testkit.runner._plan import Deployment
from testkit.runner._settings import OPERATOR_TOKENS, Addresses
from testkit.runner._waiting import wait_until

_ACTIVATION_TIMEOUT_S = 10
_OK = 200


class Clients:
    """Creates caller and operator clients and wraps frequent requests."""

    def __init__(
        self,
        deployment: Deployment,
        addresses: Mapping[str, Addresses],
    ) -> None:
        self._addresses = addresses
        self._keys = {plan.name: plan.key for plan in deployment.callers}

    def operator(self, instance: str, operator: str = 'admin') -> HttpClient:
        """Return a client for the operator address of an instance."""
        url = f'http://{self._addresses[instance].operator}'
        return HttpClient(url, OPERATOR_TOKENS[operator])

    def caller(self, instance: str, caller: str) -> HttpClient:
        """Return a client for the caller address of an instance."""
        url = f'http://{self._addresses[instance].caller}'
        return HttpClient(url, self._keys[caller])

    def read(self, instance: str, path: str) -> Any:
        """Return the JSON of an operator path, None if the call fails."""
        try:
            reply = self.operator(instance).call('GET', path)
        except (ServerUnreachableError, UnknownOutcomeError):
            return None
        return reply.content if reply.status == _OK else None

    def is_ready(self, instance: str) -> bool:
        """Return whether the readiness probe of an instance succeeds."""
        return self.read(instance, '/readyz') is not None

    def change(
        self,
        instance: str,
        edits: list[dict[str, Any]],
        reason: str,
    ) -> int:
        """Submit a catalogue change and return the new version."""
        client = self.operator(instance)
        base = client.call('GET', '/v1/catalogue').content['version']
        change = {
            'change_id': make_timestamped_id(),
            'base_version': base,
            'edits': edits,
            'reason': reason,
        }
        reply = client.call('POST', '/v1/catalogue', change)
        if reply.status != _OK:
            raise AssertionError(f'catalogue change refused: {reply}')
        return int(reply.content['version'])

    def read_version(self, instance: str) -> int:
        """Return the catalogue version of an instance, -1 if unreachable."""
        content = self.read(instance, '/v1/catalogue')
        return -1 if content is None else int(content['version'])

    def wait_for_version(
        self,
        version: int,
        instances: Collection[str],
        timeout_s: float = _ACTIVATION_TIMEOUT_S,
    ) -> float:
        """Wait until all instances serve a version; return the seconds."""
        return wait_until(
            lambda: min(map(self.read_version, instances)) >= version,
            timeout_s,
            f'catalogue version {version} in force',
        )
