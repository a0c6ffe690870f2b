"""Poller of the platform's list of live and leaving instances."""

import threading
from collections.abc import Callable, Sequence
from typing import Literal

import msgspec

from shallotgate.codec import DECODE_ERRORS
from shallotgate.http_client import (
    ExchangeLimits,
    HttpClient,
    HttpConnectError,
    HttpExchangeError,
)
from shallotgate.logs import get_logger

_LOGGER = get_logger('targets')
_TIMEOUT_S = 2.0
_MAX_LIST_BYTES = 64 * 1024 * 1024


class _Instance(msgspec.Struct, frozen=True):
    name: str
    state: Literal['live', 'leaving']


class _List(msgspec.Struct, frozen=True):
    instances: Sequence[msgspec.Raw]


_POLL_ERRORS = (HttpConnectError, HttpExchangeError, *DECODE_ERRORS)
_DECODER = msgspec.json.Decoder(_List)
_INSTANCE_DECODER = msgspec.json.Decoder(_Instance)
OnList = Callable[[frozenset[str], frozenset[str]], None]


def _decode_list(body: bytes) -> Sequence[_Instance]:
    """Return the entries that can be read; raises ``MsgspecError`` if none."""
    instances: list[_Instance] = []
    fault: Exception | None = None
    for encoded in _DECODER.decode(body).instances:
        try:
            instances.append(_INSTANCE_DECODER.decode(encoded))
        except DECODE_ERRORS as error:
            fault = error
            _LOGGER.debug('List entry left out: %s.', error)
    if fault is not None and not instances:
        raise fault
    return instances


class PlatformListPoller:
    """Polls the list; see ``docs/target-protocol.md`` for its format.

    ``on_list`` is called with the live and the leaving names after each
    successful poll. It is not called after a failed poll, so the last list
    remains in effect.
    """

    def __init__(self, url: str, poll_s: float, on_list: OnList) -> None:
        self._url = url
        self._poll_s = poll_s
        self._on_list = on_list
        self._stopped = threading.Event()
        self._is_failing = False
        self._http = HttpClient(ExchangeLimits(_TIMEOUT_S, _MAX_LIST_BYTES))
        self._thread = threading.Thread(
            target=self._run,
            name='platform-list',
            daemon=True,
        )

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling; waits for a poll in progress."""
        self._stopped.set()
        self._thread.join(timeout=_TIMEOUT_S * 2)
        self._http.close()

    def poll(self) -> bool:
        """Fetch the list once; returns whether it succeeded."""
        try:
            instances = _decode_list(self._fetch())
        except _POLL_ERRORS as error:
            self._log_failure(error)
            return False
        self._is_failing = False
        names: dict[str, set[str]] = {'live': set(), 'leaving': set()}
        for instance in instances:
            names[instance.state].add(instance.name)
        self._on_list(frozenset(names['live']), frozenset(names['leaving']))
        return True

    def _fetch(self) -> bytes:
        response = self._http.request('GET', self._url)
        if response.status != 200:  # noqa: WPS432
            raise HttpExchangeError(f'status {response.status}')
        return response.body

    def _log_failure(self, error: Exception) -> None:
        if not self._is_failing:
            _LOGGER.warning('Cannot fetch the platform list: %s.', error)
        self._is_failing = True

    def _run(self) -> None:
        while not self._stopped.wait(self._poll_s):
            try:
                self.poll()
            except Exception:
                _LOGGER.exception('Failed to apply the platform list.')
