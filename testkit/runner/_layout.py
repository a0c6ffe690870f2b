"""Addresses, files and processes of a deployment."""

import itertools
from collections.abc import Mapping
from pathlib import Path

from testkit.proxy import HEALTHY, Fault, FaultProxy
from testkit.runner._plan import Deployment, ServicePlan, TargetPlan
from testkit.runner._process import ManagedProcess, choose_address
from testkit.runner._settings import Addresses, write_keys, write_settings


class Layout:
    """Where everything of a deployment listens.

    With ``proxied`` each ordered pair of instances has the link ``a>b`` for
    what ``a`` sends to ``b``, and each target the link ``>target``.
    """

    def __init__(
        self,
        deployment: Deployment,
        folder: Path,
        proxy: FaultProxy,
        *,
        proxied: bool,
    ) -> None:
        self.deployment = deployment
        self.addresses: dict[str, Addresses] = {}
        # Address on which each target listens.
        self.listen_addresses: dict[str, str] = {}
        # Address that entries use for each target.
        self.target_routes: dict[str, str] = {}
        self._folder = folder
        self._proxy = proxy
        self._proxied = proxied
        self._place_instances()
        for _, target in deployment.list_targets():
            self._place_target(target.name)
        write_keys(folder)
        write_settings(folder, deployment, self.addresses)

    def make_instances(self) -> dict[str, ManagedProcess]:
        """Return the daemons by instance."""
        processes = {}
        for name in self.addresses:
            settings = str(self._folder / f'{name}.yaml')
            arguments = ('-m', 'shallotgate.daemon', '--settings', settings)
            processes[name] = self._make_process(name, arguments)
        return processes

    def make_targets(self) -> dict[str, ManagedProcess]:
        """Return the stand-in targets by name."""
        return {
            target.name: self._make_process(
                target.name,
                self._list_arguments(service, target),
            )
            for service, target in self.deployment.list_targets()
        }

    def _place_instances(self) -> None:
        peers = {
            instance.name: choose_address()
            for instance in self.deployment.instances
        }
        for instance in self.deployment.instances:
            routes = {}
            if self._proxied:
                routes = self._add_links(instance.name, peers)
            self.addresses[instance.name] = Addresses(
                peers[instance.name],
                choose_address(),
                choose_address(),
                routes,
            )

    def _add_links(
        self,
        name: str,
        peers: Mapping[str, str],
    ) -> dict[str, str]:
        domains = {
            instance.name: instance.domain
            for instance in self.deployment.instances
        }
        far = Fault(delay_ms=self.deployment.cross_domain_latency_ms)
        return {
            other: self._proxy.add_link(
                f'{name}>{other}',
                peers[other],
                HEALTHY if domains[other] == domains[name] else far,
            )
            for other in peers
            if other != name
        }

    def _place_target(self, name: str) -> None:
        address = choose_address()
        self.listen_addresses[name] = address
        if self._proxied:
            address = self._proxy.add_link(f'>{name}', address)
        self.target_routes[name] = address

    def _make_process(
        self,
        name: str,
        arguments: tuple[str, ...],
    ) -> ManagedProcess:
        return ManagedProcess(name, arguments, self._folder / f'{name}.log')

    def _list_arguments(
        self,
        service: ServicePlan,
        target: TargetPlan,
    ) -> tuple[str, ...]:
        held = ','.join(map(str, service.held))
        options = {
            'name': target.name,
            'service': service.name,
            'domain': target.domain,
            'port': self.listen_addresses[target.name].rpartition(':')[2],
            'slots': service.slots,
            'connections': service.connections,
            'connect-ms': service.connect_ms,
            'service-ms': service.service_ms,
            'cold-slots': service.cold_slots,
            'cold-ms': service.cold_ms,
            'versions': f'1:{service.partitions}:{held}',
        }
        pairs = ((f'--{name}', str(text)) for name, text in options.items())
        return (
            '-m',
            'testkit.standin',
            '--crash-on-content',
            *itertools.chain(*pairs),
        )
