"""Orders of operators."""

import zlib
from dataclasses import dataclass

from shallotgate.errors import ConsensusError, Finding, FindingsError
from shallotgate.generated.messages import PublishTable, SetDomainOut
from shallotgate.logs import get_logger
from shallotgate.registry._client import CurrentTable, RegistryClient
from shallotgate.routes import TableCodec, check_table

_LOGGER = get_logger('operator')
# An order is tried for this long, in seconds: operators ask another member
# after a second without an answer.
_ORDER_S = 0.9


@dataclass(frozen=True)
class OrderResult:
    """Answer to an order."""

    # Whether it was accepted, is faulty, or may or may not be accepted.
    status: str
    findings: tuple[Finding, ...] = ()


_ACCEPTED = OrderResult('accepted')
_IN_DOUBT = OrderResult('in_doubt')


class OperatorService:
    """Checks and commits orders; calls wait and belong on a thread."""

    def __init__(self, client: RegistryClient, codec: TableCodec) -> None:
        self._client = client
        self._codec = codec

    def publish(self, document: bytes) -> OrderResult:
        """Put a routing table in force, unless a newer one is."""
        try:
            table = self._codec.decode_table(document)
            check_table(table)
        except FindingsError as error:
            _LOGGER.warning('Table refused: %s', error)
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
        """Return the table in force, None if that can not be confirmed."""
        try:
            return self._client.read_table(_ORDER_S)
        except ConsensusError as error:
            _LOGGER.warning('The table can not be confirmed: %s.', error)
            return None

    def _commit(self, command: object, order: dict[str, object]) -> OrderResult:
        try:
            outcome = self._client.commit(command, _ORDER_S)
        except ConsensusError as error:
            _LOGGER.warning('Order in doubt: %s.', error, extra=order)
            return _IN_DOUBT
        _LOGGER.info(
            'Order accepted.',
            extra={**order, 'outcome': str(outcome)},
        )
        return _ACCEPTED
