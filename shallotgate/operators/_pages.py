"""Handlers of read-only pages."""

from collections.abc import Mapping
from types import MappingProxyType

from shallotgate.http import Request, Response, make_json_response
from shallotgate.invariants import read_breaches
from shallotgate.membership import Operation
from shallotgate.operators._ports import OperatorPorts
from shallotgate.settings import OperatorKey

_CALL_TIMEOUT_S = 5
_METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4'
_LEADER_OPERATIONS: Mapping[str, Operation] = MappingProxyType(
    {
        '/v1/control/members': 'members',
        '/v1/history': 'history',
        '/v1/quarantine': 'quarantine',
        '/v1/status': 'status',
    }
)


class ReadHandlers:
    """Serves pages from the local view or from the control leader."""

    def __init__(self, ports: OperatorPorts) -> None:
        self._ports = ports

    def read_metrics(self, request: Request, operator: OperatorKey) -> Response:
        """Return metrics and breach counters as Prometheus text."""
        lines = [
            f'invariant_breaches_total{{invariant="{name}"}} {count}\n'
            for name, count in sorted(read_breaches().items())
        ]
        text = self._ports.metrics.render() + ''.join(lines)
        return Response(200, text.encode(), _METRICS_CONTENT_TYPE)

    def read_catalogue(
        self,
        request: Request,
        operator: OperatorKey,
    ) -> Response:
        """Return the catalogue that is active on this instance."""
        return make_json_response(200, self._ports.view.current().catalogue)

    def read_domains(self, request: Request, operator: OperatorKey) -> Response:
        """Return the failure domains in the catalogue."""
        domains = self._ports.view.current().catalogue.domains
        return make_json_response(200, dict(domains))

    def read_instances(
        self,
        request: Request,
        operator: OperatorKey,
    ) -> Response:
        """Return the live instances in the view of this instance."""
        instances = self._ports.view.current().instances
        records = [instances[name] for name in sorted(instances)]
        return make_json_response(200, {'instances': records})

    def read_targets(self, request: Request, operator: OperatorKey) -> Response:
        """Return each target with its owner and its last reported state."""
        view = self._ports.view.current()
        states = {state.target: state for state in self._ports.targets()}
        targets = [
            {
                'target': name,
                'service': place.service_name,
                'domain': place.target.domain,
                'address': place.target.address,
                'ownership': view.ownership.get(name),
                'state': states.get(name),
            }
            for name, place in sorted(view.places.items())
        ]
        return make_json_response(200, {'targets': targets})

    def read_snapshots(
        self,
        request: Request,
        operator: OperatorKey,
    ) -> Response:
        """Return the index versions and their coverage."""
        return make_json_response(200, self._ports.snapshots())

    def read_from_leader(
        self,
        request: Request,
        operator: OperatorKey,
    ) -> Response:
        """Forward the request to the control leader and return its answer."""
        content = self._ports.leader.call_leader(
            _LEADER_OPERATIONS[request.path],
            dict(request.parameters),
            _CALL_TIMEOUT_S,
        )
        return make_leader_response(content)


def make_leader_response(content: object) -> Response:
    """Return a response with the leader's answer, encoded if it is not yet."""
    if isinstance(content, bytes):
        return Response(200, content)
    return make_json_response(200, content)
