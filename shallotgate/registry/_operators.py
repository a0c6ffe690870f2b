"""Commands of operators."""

import zlib
from dataclasses import dataclass

from shallotgate.errors import ConsensusError, Finding, FindingsError
from shallotgate.generated.messages import PublishTable, SetDomainOut
from shallotgate.logs import get_logger
from shallotgate.registry._client import CurrentTable, RegistryClient
from shallotgate.routes import TableCodec, check_table

_LOGGER = get_logger('operator')
# Below the 1 s after which operators retry at another member.
_COMMIT_TIMEOUT_S = 0.9


@dataclass(frozen=True)
class OrderResult:
    """Result of an operator's command."""

    # ``accepted``, ``faulty`` (rejected by validation) or ``in_doubt`` (outcome
    # unknown).
    status: str
    findings: tuple[Finding, ...] = ()


_ACCEPTED = OrderResult('accepted')
_UNKNOWN = OrderResult('in_doubt')


class OperatorService:
    """Validates and commits commands; calls block, so use a thread."""

    def __init__(self, client: RegistryClient, codec: TableCodec) -> None:
        self._client = client
        self._codec = codec

    def publish(self, document: bytes) -> OrderResult:
        """Activate a routing table, unless a newer one is active."""
        try:
            table = self._codec.decode_table(document)
            check_table(table)
        except FindingsError as error:
            _LOGGER.warning('Table rejected: %s', error)
            return OrderResult('faulty', error.findings)
        command = PublishTable(
            version=table.version,
            document=zlib.compress(document),
        )
        return self._commit(command, {'version': table.version})

    def set_domain(self, domain: str, *, is_out: bool) -> OrderResult:
        """Take a failure domain out of service or back in."""
        command = SetDomainOut(domain=domain, out=is_out)
        return self._commit(command, {'domain': domain, 'out': is_out})

    def read(self) -> CurrentTable | None:
        """Return the active table, or None if it cannot be confirmed."""
        try:
            return self._client.read_table(_COMMIT_TIMEOUT_S)
        except ConsensusError as error:
            _LOGGER.warning('Active table cannot be confirmed: %s.', error)
            return None

    def _commit(
        self, command: object, log_fields: dict[str, object]
    ) -> OrderResult:
        try:
            outcome = self._client.commit(command, _COMMIT_TIMEOUT_S)
        except ConsensusError as error:
            _LOGGER.warning(
                'Outcome of an operator command is unknown: %s.',
                error,
                extra=log_fields,
            )
            return _UNKNOWN
        _LOGGER.info(
            'Operator command accepted.',
            extra={**log_fields, 'outcome': str(outcome)},
        )
        return _ACCEPTED
