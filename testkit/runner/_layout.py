"""Addresses, settings files and processes of a deployment."""

import itertools
from collections.abc import Mapping
from pathlib import Path

from testkit.proxy import HEALTHY, Fault, FaultProxy
from testkit.runner._plan import Deployment, ServicePlan, TargetPlan
from testkit.runner._process import ManagedProcess, choose_address
from testkit.runner._settings import Addresses, write_keys, write_settings


class Layout:
    """Assigns addresses and writes the settings of a deployment.

    With ``proxied`` traffic passes through the fault proxy: the link ``a>b``
    carries what instance ``a`` sends to instance ``b``, and ``>target`` what
    all entries send to a target.
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
        # Address at which entries reach each target, possibly of the proxy.
        self.target_routes: dict[str, str] = {}
        self._folder = folder
        self._proxy = proxy
        self._proxied = proxied
        self._assign_instance_addresses()
        for _, target in deployment.list_targets():
            self._assign_target_address(target.name)
        write_keys(folder)
        write_settings(folder, deployment, self.addresses)

    def make_instances(self) -> dict[str, ManagedProcess]:
        """Return the daemon processes by instance name."""
        processes = {}
        for name in self.addresses:
            settings = str(self._folder / f'{name}.yaml')
            arguments = ('-m', 'shallotgate.daemon', '--settings', settings)
            processes[name] = self._make_process(name, arguments)
        return processes

    def make_targets(self) -> dict[str, ManagedProcess]:
        """Return the stand-in target processes by target name."""
        return {
            target.name: self._make_process(
                target.name,
                self._make_standin_arguments(service, target),
            )
            for service, target in self.deployment.list_targets()
        }

    def _assign_instance_addresses(self) -> None:
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
        cross_domain = Fault(delay_ms=self.deployment.cross_domain_latency_ms)
        return {
            other: self._proxy.add_link(
                f'{name}>{other}',
                peers[other],
                HEALTHY if domains[other] == domains[name] else cross_domain,
            )
            for other in peers
            if other != name
        }

    def _assign_target_address(self, name: str) -> None:
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

    def _make_standin_arguments(
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
