"""Commands of operators."""

import asyncio
import time
import zlib
from collections.abc import Awaitable, Callable, Iterator, Sequence
from dataclasses import asdict, dataclass

from shallotgate.errors import ConsensusError, Finding, FindingsError
from shallotgate.generated.messages import (
    DomainOutcome,
    Done,
    PublishTable,
    ReadRollout,
    RolloutStatus,
    SetDomainOut,
    StartRollout,
    StartRolloutOutcome,
    StoreContents,
    StoredContent,
)
from shallotgate.logs import get_logger
from shallotgate.registry._client import CurrentTable, RegistryClient
from shallotgate.routes import TableCodec, check_table

_LOGGER = get_logger('operator')
# Below the 1 s after which operators retry at another member.
_COMMIT_TIMEOUT_S = 0.9


@dataclass(frozen=True)
class OrderResult:
    """Result of an operator's command."""

    # ``accepted``, ``faulty`` (rejected by validation), ``in_progress`` (the
    # service has another rollout) or ``in_doubt`` (outcome unknown).
    status: str
    findings: tuple[Finding, ...] = ()


_ACCEPTED = OrderResult('accepted')
_UNKNOWN = OrderResult('in_doubt')
_IN_PROGRESS = OrderResult('in_progress')
# Longest service name and version of a rollout.
_MAX_TEXT_LENGTH = 1024
# Longest duration of a rollout, in seconds.
_MAX_ROLLOUT_S = 7 * 24 * 3600


@dataclass(frozen=True)
class RolloutOrder:
    """Order of a rollout as an operator gives it."""

    service: str
    target_version: str
    duration_s: float


class OperatorService:
    """Validates and commits commands.

    Calls that are not coroutines block, so use a thread.
    """

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
        result, _ = self._commit(
            command, _COMMIT_TIMEOUT_S, {'version': table.version}
        )
        return result

    async def set_domain(
        self,
        domain: str,
        *,
        is_out: bool,
        confirm_caller: Callable[[], Awaitable[None]],
    ) -> OrderResult:
        """Take a failure domain out of service or back in.

        The operator gives a call up that gets no answer and sends the order to
        another member. If this one were applied as well, it could undo an order
        that was accepted in between. So the caller has to be still there when
        the revision is known on which the change is decided: of any later order
        the leader has a newer revision, with which it drops this one.

        ``confirm_caller`` raises ``CancelledError`` if the caller has left.
        """
        deadline = time.monotonic() + _COMMIT_TIMEOUT_S
        revision = self._client.get_domains_revision()
        while True:
            try:
                await confirm_caller()
            except asyncio.CancelledError:
                _LOGGER.warning(
                    'Order of a domain dropped: its caller has left.',
                    extra={'domain': domain, 'out': is_out},
                )
                raise
            timeout_s = deadline - time.monotonic()
            if timeout_s <= 0:
                _LOGGER.warning(
                    'Order of a domain not sent in time.',
                    extra={'domain': domain, 'out': is_out},
                )
                return _UNKNOWN
            command = SetDomainOut(
                domain=domain, out=is_out, base_revision=revision
            )
            result, outcome = await asyncio.to_thread(
                self._commit,
                command,
                timeout_s,
                {'domain': domain, 'out': is_out, 'base_revision': revision},
            )
            if not isinstance(outcome, DomainOutcome) or outcome.accepted:
                return result
            revision = outcome.revision

    async def start_rollout(
        self,
        order: RolloutOrder,
        *,
        confirm_caller: Callable[[], Awaitable[None]],
    ) -> OrderResult:
        """Order the move of a service to another version.

        As with a domain, an order whose caller has left must not undo a later
        one, so it names the newest order known before the caller was seen.
        """
        findings = tuple(_iter_faults(order))
        if findings:
            _LOGGER.warning('Rollout rejected: %s', FindingsError(findings))
            return OrderResult('faulty', findings)
        deadline = time.monotonic() + _COMMIT_TIMEOUT_S
        base_order = self._client.get_rollout_order(order.service)
        while True:
            await confirm_caller()
            timeout_s = deadline - time.monotonic()
            if timeout_s <= 0:
                return _UNKNOWN
            command = StartRollout(
                service=order.service,
                target_version=order.target_version,
                duration_s=order.duration_s,
                base_order=base_order,
            )
            result, outcome = await asyncio.to_thread(
                self._commit, command, timeout_s, asdict(command)
            )
            if not isinstance(outcome, StartRolloutOutcome):
                return result
            if outcome.status != 'outdated':
                is_refused = outcome.status == 'in_progress'
                return _IN_PROGRESS if is_refused else result
            base_order = outcome.order

    def read_rollout(self, service: str) -> RolloutStatus | None:
        """Return the newest order on a service; None if unconfirmed.

        Its number is 0 if there is none. The read is a record of the log, so
        that it sees all orders acknowledged before.
        """
        try:
            outcome = self._client.commit(
                ReadRollout(service=service), _COMMIT_TIMEOUT_S
            )
        except ConsensusError as error:
            _LOGGER.warning('Rollout cannot be confirmed: %s.', error)
            return None
        return outcome if isinstance(outcome, RolloutStatus) else None

    def list_refused(self) -> Sequence[StoredContent]:
        """Return the contents that are refused, as known to this member."""
        return [each for each in self._client.list_contents() if each.refused]

    def allow_content(self, digest: str) -> OrderResult:
        """Accept a refused content again; its crashes count anew."""
        result, outcome = self._commit(
            StoreContents(contents=[], forgotten=[digest]),
            _COMMIT_TIMEOUT_S,
            {'digest': digest},
        )
        if isinstance(outcome, Done) and not outcome.changed:
            finding = Finding('contents', digest, 'is not refused')
            return OrderResult('faulty', (finding,))
        return result

    def read(self) -> CurrentTable | None:
        """Return the active table, or None if it cannot be confirmed."""
        try:
            return self._client.read_table(_COMMIT_TIMEOUT_S)
        except ConsensusError as error:
            _LOGGER.warning('Active table cannot be confirmed: %s.', error)
            return None

    def _commit(
        self,
        command: object,
        timeout_s: float,
        log_fields: dict[str, object],
    ) -> tuple[OrderResult, object]:
        """Return the result for the operator and the outcome of the command."""
        try:
            outcome = self._client.commit(command, timeout_s)
        except ConsensusError as error:
            _LOGGER.warning(
                'Outcome of an operator command is unknown: %s.',
                error,
                extra=log_fields,
            )
            return _UNKNOWN, None
        _LOGGER.info(
            'Operator command committed.',
            extra={**log_fields, 'outcome': str(outcome)},
        )
        return _ACCEPTED, outcome


def _iter_faults(order: RolloutOrder) -> Iterator[Finding]:
    for text in (order.service, order.target_version):
        if not 0 < len(text) <= _MAX_TEXT_LENGTH:
            yield Finding(
                'rollout',
                order.service[:_MAX_TEXT_LENGTH],
                'service and version must not be empty or too long',
            )
    if not 0 < order.duration_s <= _MAX_ROLLOUT_S:
        yield Finding(
            'rollout',
            order.service[:_MAX_TEXT_LENGTH],
            f'the duration must be above 0 and up to {_MAX_ROLLOUT_S} s',
        )
