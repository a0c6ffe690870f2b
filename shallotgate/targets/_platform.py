"""The platform's list of live and leaving instances."""

import threading
from collections.abc import Callable, Sequence
from typing import Literal

import msgspec
import urllib3

from shallotgate.logs import get_logger

_LOGGER = get_logger('targets')
_TIMEOUT_S = 2.0
_MAX_LIST_BYTES = 64 * 1024 * 1024


class _Instance(msgspec.Struct, frozen=True):
    name: str
    state: Literal['live', 'leaving']


class _List(msgspec.Struct, frozen=True):
    instances: Sequence[_Instance]


_DECODER = msgspec.json.Decoder(_List)
OnList = Callable[[frozenset[str], frozenset[str]], None]


class PlatformListPoller:
    """Polls the list; see ``docs/target-protocol.md`` for its format.

    ``on_list`` gets the live and the leaving names after each successful
    poll. After a failed one nothing is called: the last list stays in force.
    """

    def __init__(self, url: str, poll_s: float, on_list: OnList) -> None:
        self._url = url
        self._poll_s = poll_s
        self._on_list = on_list
        self._stopped = threading.Event()
        self._failing = False
        self._http = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(total=_TIMEOUT_S),
        )
        self._thread = threading.Thread(
            target=self._run,
            name='platform-list',
            daemon=True,
        )

    def start(self) -> None:
        """Start to poll."""
        self._thread.start()

    def stop(self) -> None:
        """Stop to poll; waits for a poll in progress."""
        self._stopped.set()
        self._thread.join(timeout=_TIMEOUT_S * 2)
        self._http.clear()

    def poll(self) -> bool:
        """Read the list once; returns whether it could be read."""
        try:
            found = _DECODER.decode(self._read())
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            self._note_failure(error)
            return False
        self._failing = False
        names: dict[str, set[str]] = {'live': set(), 'leaving': set()}
        for instance in found.instances:
            names[instance.state].add(instance.name)
        self._on_list(frozenset(names['live']), frozenset(names['leaving']))
        return True

    def _read(self) -> bytes:
        response = self._http.request(
            'GET',
            self._url,
            preload_content=False,
        )
        try:
            content: bytes = response.read(_MAX_LIST_BYTES)
        finally:
            response.release_conn()
        if response.status != 200:  # noqa: WPS432
            raise urllib3.exceptions.HTTPError(f'status {response.status}')
        return content

    def _note_failure(self, error: Exception) -> None:
        if not self._failing:
            _LOGGER.warning('No list from the platform: %s.', error)
        self._failing = True

    def _run(self) -> None:
        while not self._stopped.wait(self._poll_s):
            try:
                self.poll()
            except Exception:
                _LOGGER.exception('The platform list could not be applied.')
