"""Control of the stand-in targets of a run."""

import contextlib
import threading
import time
from typing import Any

import urllib3

from shallotgate.codec import decode_json, encode_json
from testkit.runner import Tier, WaitTimeoutError, wait_until
from testkit.soak._records import Journal

_REQUEST_TIMEOUT_S = 5
_START_TIMEOUT_S = 20
_POLL_S = 0.1
# Exit status of a stand-in target after a crashing request.
_CRASH_STATUS = 139
_Version = dict[str, Any]


class StandIns:
    """Reconfigures and restarts stand-in targets and collects counters."""

    def __init__(self, tier: Tier, journal: Journal) -> None:
        self.crashes = 0
        self._tier = tier
        self._journal = journal
        self._lock = threading.RLock()
        # Targets killed by an injected fault, not to be restarted meanwhile.
        self._killed_by_fault: set[str] = set()
        self._versions: dict[str, list[_Version]] = {
            target.name: [
                {
                    'index_version': 1,
                    'partitions': service.partitions,
                    'held': list(service.held),
                }
            ]
            for service, target in tier.deployment.list_targets()
        }

    def change(self, name: str, **edits: Any) -> dict[str, Any]:
        """Reconfigure a stand-in target and return its counters."""
        address = self._tier.layout.listen_addresses[name]
        response = urllib3.request(
            'POST',
            f'http://{address}/v1/admin',
            body=encode_json(edits),
            headers={'Connection': 'close'},
            timeout=_REQUEST_TIMEOUT_S,
            retries=False,
        )
        return decode_json(response.data, dict[str, Any])

    def crash(self, name: str, pause_s: float) -> None:
        """Kill a stand-in target and restart it after a pause."""
        with self._lock:
            self._killed_by_fault.add(name)
        self._collect(name)
        self._tier.targets[name].kill()
        time.sleep(pause_s)
        self._start(name)
        with self._lock:
            self._killed_by_fault.discard(name)

    def repartition(self, group: str, pause_s: float) -> None:
        """Roll out an index version with twice or half the partitions."""
        names = [
            target.name
            for service, target in self._tier.deployment.list_targets()
            if service.group == group
        ]
        for name in names:
            with self._lock:
                newest = self._versions[name][-1]
                self._versions[name].append(_make_next_version(newest))
            self._push_versions(name)
            time.sleep(pause_s)
        for name in names:
            with self._lock:
                self._versions[name].pop(0)
            self._push_versions(name)
            time.sleep(pause_s)

    def restart_crashed(self) -> None:
        """Restart stand-in targets that a request crashed."""
        for name, process in self._tier.targets.items():
            with self._lock:
                ended = (
                    name not in self._killed_by_fault
                    and not process.is_running()
                )
            if ended:
                crashed = process.exits[-1] == _CRASH_STATUS
                self.crashes += int(crashed)
                self._start(name)

    def count_runs(self, domain: str) -> int:
        """Return the number of attempts run by the targets of a domain."""
        return sum(
            self.change(target.name)['counters'].get('ran', 0)
            for _, target in self._tier.deployment.list_targets()
            if target.domain == domain
        )

    def collect_all(self) -> None:
        """Add the counters of all stand-in targets to the journal."""
        for name in self._tier.targets:
            self._collect(name)

    def _collect(self, name: str) -> None:
        try:
            self._journal.add_runs(self.change(name))
        except urllib3.exceptions.HTTPError:
            self._journal.log_event(f'counters of {name} are lost')

    def _start(self, name: str) -> None:
        self._tier.targets[name].start()
        try:
            wait_until(
                lambda: self._push_versions(name),
                _START_TIMEOUT_S,
                f'{name} listens',
            )
        except WaitTimeoutError as error:
            self._journal.findings.append(f'test kit: {error}')

    def _push_versions(self, name: str) -> bool:
        """Set the index versions; false if the stand-in is unreachable."""
        with self._lock:
            versions = list(self._versions[name])
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            self.change(name, versions=versions)
            return True
        return False


def _make_next_version(newest: _Version) -> _Version:
    """Return the next index version, with partitions split or merged.

    >>> split = _make_next_version(
    ...     {'index_version': 1, 'partitions': 3, 'held': [2]}
    ... )
    >>> split
    {'index_version': 2, 'partitions': 6, 'held': [4, 5]}
    >>> _make_next_version(split)
    {'index_version': 3, 'partitions': 3, 'held': [2]}
    """
    number = newest['index_version'] + 1
    held = newest['held']
    if number % 2:
        partitions = newest['partitions'] // 2
        held = sorted({partition // 2 for partition in held})
    else:
        partitions = newest['partitions'] * 2
        held = [2 * partition + half for partition in held for half in (0, 1)]
    return {'index_version': number, 'partitions': partitions, 'held': held}
