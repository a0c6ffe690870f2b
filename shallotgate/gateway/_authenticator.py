"""Authentication of caller requests at an entry."""

import random
import time
from dataclasses import asdict, replace

from shallotgate.accounts import Authentication, KeyIndex, compare_keys
from shallotgate.aio import Response
from shallotgate.gateway._call import Call
from shallotgate.gateway._report import RequestReporter
from shallotgate.gateway._wire import WireCodec
from shallotgate.logs import get_logger
from shallotgate.routes import RoutingTable

_LOGGER = get_logger('accounts')
# Range of the retry delay sent with a refusal because the table is not
# confirmed, in seconds, randomised to avoid synchronised retries. It is short
# because another entry may have the key.
_RETRY_MIN_S = 0.02
_RETRY_MAX_S = 0.1
# Names of accounts in a log line about a table.
_MAX_LOGGED_NAMES = 20


class CallerAuthenticator:
    """Finds the accounts of requests in the active routing table."""

    def __init__(
        self,
        wire: WireCodec,
        reporter: RequestReporter,
        generator: random.Random,
    ) -> None:
        self._wire = wire
        self._reporter = reporter
        self._generator = generator
        self._table: RoutingTable | None = None
        self._index = KeyIndex(RoutingTable(-1))
        self._confirmed_at = float('-inf')
        # Whether the last request without an account was undecided.
        self._is_undecided = False

    def apply_table(self, table: RoutingTable) -> None:
        """Use the keys of a table from now on."""
        self._log_changes(table)
        self._index = KeyIndex(table)
        self._table = table

    def confirm_table(self, confirmed_at: float) -> None:
        """Record that the active table was the newest at a monotonic time."""
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def authenticate(self, call: Call) -> tuple[Call, Response | None]:
        """Return the call with its account, and the answer if it is refused.

        Targets get the call without the caller's key.
        """
        if not self._index.is_enabled:
            return call, None
        unconfirmed_s = time.monotonic() - self._confirmed_at
        authentication = self._index.authenticate(
            call.caller.key,
            is_public=call.route.is_public,
            unconfirmed_s=unconfirmed_s,
        )
        account = authentication.account
        name = None if account is None else account.name
        call = replace(
            call,
            caller=self._wire.encode_account(call.caller, name),
            account=account,
        )
        if authentication.is_refused:
            return call, self._refuse(call, authentication, unconfirmed_s)
        self._reporter.count_account(name)
        return call, None

    def _refuse(
        self,
        call: Call,
        authentication: Authentication,
        unconfirmed_s: float,
    ) -> Response:
        call.trace.is_unauthenticated = True
        is_undecided = authentication.status == 'undecided'
        if is_undecided is not self._is_undecided:
            self._log_confirmation(unconfirmed_s, is_undecided=is_undecided)
        key = 'unmatched' if authentication.has_key else 'absent'
        self._reporter.count(
            'unauthenticated', result=authentication.status, key=key
        )
        if not is_undecided:
            call.trace.add('unauthenticated', key=key)
            return self._wire.refuse(401, None)
        call.trace.add('undecided', key=key, unconfirmed_s=unconfirmed_s)
        return self._wire.refuse(
            503, self._generator.uniform(_RETRY_MIN_S, _RETRY_MAX_S)
        )

    def _log_confirmation(
        self, unconfirmed_s: float, *, is_undecided: bool
    ) -> None:
        self._is_undecided = is_undecided
        reason = (
            'Requests with an unknown key are refused as undecided: no leader '
            'confirms the table.'
            if is_undecided
            else 'Requests with an unknown key are refused as unauthenticated: '
            'a leader confirms the table.'
        )
        _LOGGER.info(
            reason,
            extra={
                'table_version': self._table.version if self._table else -1,
                'unconfirmed_s': round(unconfirmed_s, 1),
            },
        )

    def _log_changes(self, table: RoutingTable) -> None:
        changes = asdict(compare_keys(self._table, table))
        if not any(changes.values()):
            return
        _LOGGER.info(
            'Accounts changed.',
            extra={
                'table_version': table.version,
                'accounts': len(table.accounts),
                **{
                    change: names[:_MAX_LOGGED_NAMES]
                    for change, names in changes.items()
                },
                'names_left_out': sum(
                    max(len(names) - _MAX_LOGGED_NAMES, 0)
                    for names in changes.values()
                ),
            },
        )
