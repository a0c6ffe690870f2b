"""Grants shares of the limits of accounts; runs on the leader."""

import time
import zlib
from collections.abc import Callable, Mapping

from shallotgate.account_limits import ShareAllocator
from shallotgate.consensus import ReplicatedLog
from shallotgate.errors import FindingsError, TransportError
from shallotgate.generated.messages import AskShares, GrantShares
from shallotgate.logs import get_logger
from shallotgate.registry._state import Registry, RegistryState
from shallotgate.routes import ClientAccount, TableCodec
from shallotgate.transport import Delivery, Mailbox

_LOGGER = get_logger('quotas')


class QuotaService:
    """Answers the questions of entries about the limits of accounts."""

    def __init__(
        self,
        mailbox: Mailbox,
        log: ReplicatedLog,
        state: RegistryState,
        codec: TableCodec,
        get_silent_share: Callable[[], float],
    ) -> None:
        """Subscribe to mailbox and log, which must not have started.

        ``get_silent_share`` returns the part of the entries that have not been
        heard from lately.
        """
        self._mailbox = mailbox
        self._log = log
        self._state = state
        self._codec = codec
        self._get_silent_share = get_silent_share
        self._allocator = ShareAllocator()
        # Accounts of the table that was decoded last.
        self._version = -1
        self._accounts: Mapping[str, ClientAccount] = {}
        mailbox.subscribe(AskShares, self._on_ask)
        log.on_leadership(self._on_leadership)

    def count_active(self) -> int:
        """Return the number of accounts that entries ask for."""
        return len(self._allocator.get_usage(time.monotonic()))

    def count_exceeding(self) -> int:
        """Return the number of accounts near their limit or above it."""
        lists = self._allocator.list_accounts(time.monotonic())
        return len(lists.exceeding) if lists else 0

    def _on_leadership(self, is_leading: bool) -> None:
        if is_leading:
            self._allocator.activate(time.monotonic())
        else:
            self._allocator.deactivate()

    def _on_ask(self, delivery: Delivery) -> None:
        reply = GrantShares(
            number=delivery.message.number, leading=False, grants=[]
        )
        if self._log.is_leading():
            reply = self._grant(delivery.sender, delivery.message)
        try:
            self._mailbox.send(delivery.sender, reply)
        except TransportError as error:
            _LOGGER.info('Shares were not sent to an entry: %s.', error)

    def _grant(self, entry: str, ask: AskShares) -> GrantShares:
        now = time.monotonic()
        accounts = self._read_accounts()
        silent_share = self._get_silent_share()
        lists = self._allocator.list_accounts(now)
        return GrantShares(
            number=ask.number,
            leading=True,
            grants=[
                self._allocator.grant(
                    entry, request, accounts, silent_share, now
                )
                for request in ask.requests
            ],
            lists_known=lists is not None,
            busy=lists.busy if lists else (),
            exceeding=lists.exceeding if lists else (),
        )

    def _read_accounts(self) -> Mapping[str, ClientAccount]:
        """Return the accounts of the newest table by name."""
        registry = self._state.read()
        if registry.version != self._version:
            self._accounts = self._decode(registry)
            self._version = registry.version
        return self._accounts

    def _decode(self, registry: Registry) -> Mapping[str, ClientAccount]:
        try:
            table = self._codec.decode_table(zlib.decompress(registry.document))
        except (FindingsError, zlib.error) as error:
            _LOGGER.warning(
                'Accounts of the table are unknown: %s.',
                error,
                extra={'version': registry.version},
            )
            return {}
        return {account.name: account for account in table.accounts}
