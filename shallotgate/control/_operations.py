"""Operator calls that the leader serves."""

import time
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

import msgspec

from shallotgate.codec import DECODE_ERRORS, dump_builtins
from shallotgate.control._log import ReplicatedLog
from shallotgate.control._sessions import SessionTable
from shallotgate.errors import ShallotgateError
from shallotgate.generated.messages import Versions
from shallotgate.state import TierState

_REPLACE_TIMEOUT_S = 10.0
_MS_PER_S = 1000


class OperationError(ShallotgateError):
    """An operator call is invalid or can't be carried out."""


class Operations:
    """Runs operations; each takes a JSON argument and returns a JSON value."""

    def __init__(
        self,
        log: ReplicatedLog,
        state: TierState,
        sessions: SessionTable,
    ) -> None:
        self._log = log
        self._state = state
        self._sessions = sessions
        self._by_name: Mapping[str, Callable[[Any], Any]] = MappingProxyType(
            {
                'status': self._make_status,
                'history': self._list_history,
                'quarantine': self._list_quarantine,
                'members': self._list_members,
                'replace_member': self._replace_member,
            }
        )

    def run(self, operation: str, argument: bytes) -> object:
        """Run an operation and return its result; raises ``OperationError``."""
        handler = self._by_name.get(operation)
        if handler is None:
            raise OperationError(f'the leader does not serve {operation!r}')
        try:
            content = msgspec.json.decode(argument or b'null')
        except DECODE_ERRORS as error:
            raise OperationError(f'invalid argument: {error}') from error
        return handler(content)

    def _make_status(self, argument: Any) -> Any:
        applied = self._state.read()
        now = time.monotonic()
        sessions = self._sessions.take_snapshot(now)
        instances = [
            {
                **dump_builtins(session.record),
                'versions': dump_builtins(
                    session.record.versions or Versions(),
                ),
                'lease_age_ms': (now - session.renewed_at) * _MS_PER_S,
                'has_lease': session.is_live(now),
            }
            for session in sessions.sessions.values()
        ]
        owned = applied.ownership.values()
        return {
            'leader': self._log.leader,
            # Versions of the state as of the last accepted change.
            'versions': dump_builtins(applied.versions),
            'log_time': applied.time,
            'applied_index': applied.index,
            'instances': instances,
            'targets': len(owned),
            'targets_moving': sum(entry.state == 'moving' for entry in owned),
            'once_records': self._state.count_once_records(),
            'log': dump_builtins(self._log.status()),
        }

    def _list_history(self, argument: Any) -> Any:
        return dump_builtins(self._state.list_history())

    def _list_quarantine(self, argument: Any) -> Any:
        return dump_builtins(tuple(self._state.read().quarantine.values()))

    def _list_members(self, argument: Any) -> Any:
        return dump_builtins(self._log.status())

    def _replace_member(self, argument: Any) -> Any:
        if not isinstance(argument, dict):
            raise OperationError('the argument must be an object')
        instance = argument.get('instance')
        timeout_s = argument.get('timeout_s', _REPLACE_TIMEOUT_S)
        if not isinstance(instance, str) or not instance:
            raise OperationError('"instance" must name a control member')
        if not isinstance(timeout_s, int | float) or timeout_s <= 0:
            raise OperationError('"timeout_s" must be a positive number')
        self._log.replace_member(instance, timeout_s)
        return {'replaced': instance}
