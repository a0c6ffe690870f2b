"""Composition of the operator server."""

from collections.abc import Callable, Sequence
from pathlib import Path

from shallotgate.aio import register_caller_metrics
from shallotgate.codec import encode_json
from shallotgate.daemon._base import Base
from shallotgate.daemon._entry import EntryRole
from shallotgate.daemon._totals import make_caller_totals
from shallotgate.errors import Finding, FindingsError
from shallotgate.generated.messages import TargetState
from shallotgate.http import HttpServer
from shallotgate.membership import ControlClient, LeaderCallError
from shallotgate.operators import OperatorApplication, OperatorPorts
from shallotgate.settings import OperatorKey, load_operator_keys

_THREADS = 6


class _LeaderCallAdapter:
    """Adapts the control client to the operator application."""

    def __init__(self, client: ControlClient) -> None:
        self._client = client

    def call_leader(
        self,
        operation: str,
        argument: object,
        timeout_s: float,
    ) -> bytes:
        """Return the leader's answer as JSON."""
        try:
            answer = self._client.call_leader(
                operation,  # type: ignore[arg-type]
                argument,
                timeout_s,
            )
        except LeaderCallError as error:
            finding = Finding('leader', operation, str(error))
            raise FindingsError([finding]) from error
        return encode_json(answer)


def make_operator_server(
    base: Base,
    entry: EntryRole | None,
    get_unready_reason: Callable[[], str],
) -> HttpServer:
    """Return the server for operators, metrics and health."""
    settings = base.settings
    application = OperatorApplication(
        OperatorPorts(
            keys=_load_keys(settings.operator_keys),
            view=base.view,
            commands=base.client,
            leader=_LeaderCallAdapter(base.client),
            metrics=base.metrics,
            targets=entry.list_states if entry else _list_no_states,
            snapshots=entry.list_snapshots if entry else dict,
            readiness=get_unready_reason,
        ),
    )
    server = HttpServer(
        settings.operator_address,
        application,
        threads=_THREADS,
        max_body_bytes=settings.max_body_bytes,
        totals=make_caller_totals(settings),
    )
    register_caller_metrics(base.metrics, server.server, 'operators')
    return server


def _load_keys(path: str) -> Sequence[OperatorKey]:
    return load_operator_keys(Path(path)) if path else ()


def _list_no_states() -> Sequence[TargetState]:
    return ()
