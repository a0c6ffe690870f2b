"""A soak run: load, fault injection and final checks."""

import random
import threading
import time
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

from testkit.deployments import make_small_clearing
from testkit.runner import Tier, WaitTimeoutError, wait_until
from testkit.soak._checks import (
    check_changes,
    check_counters,
    check_exchanges,
    check_keys,
    check_versions,
)
from testkit.soak._context import FaultContext
from testkit.soak._faults import FaultRunner
from testkit.soak._load import Load
from testkit.soak._records import Journal, list_quantiles_ms
from testkit.soak._targets import StandIns

_RECOVERY_TIMEOUT_S = 90
_POLL_S = 0.2
_SECONDS_PER_MINUTE = 60
_MAX_FINDINGS = 40


class SoakRun:
    """Runs a reduced clearing deployment under load and faults."""

    def __init__(self, seed: int, minutes: float) -> None:
        self._seed = seed
        self._seconds = minutes * _SECONDS_PER_MINUTE
        self.journal = Journal()
        deployment = make_small_clearing()
        settings = {'abort_on_breach': True, 'seed': seed}
        self.tier = Tier(deployment, proxied=True, settings=settings)
        self._load = Load(self.tier, self.journal, seed)
        self._stand_ins = StandIns(self.tier, self.journal)
        self._faults = FaultRunner(
            FaultContext(self.tier, self.journal, self._load, self._stand_ins),
            random.Random(f'{seed}-faults'),
        )
        self._ended = threading.Event()

    def run(self) -> dict[str, Any]:
        """Run load, faults and checks; return the summary."""
        self.tier.start()
        self._wait_complete()
        pollers = [
            threading.Thread(target=self._poll, args=(work,), daemon=True)
            for work in (self._record_versions, self._stand_ins.restart_crashed)
        ]
        for poller in pollers:
            poller.start()
        self._load.start()
        self._faults.run(self._seconds)
        self._load.stop()
        findings = self._finish()
        self._ended.set()
        for poller in pollers:
            poller.join()
        return self._summarize(findings)

    def _poll(self, work: Callable[[], None]) -> None:
        while not self._ended.wait(_POLL_S):
            try:
                work()
            except Exception as error:
                self.journal.findings.append(f'test kit: {error!r}')

    def _record_versions(self) -> None:
        for name in self.tier.instances:
            version = self.tier.clients.read_version(name)
            if version > 0:
                seen = self.journal.versions.setdefault(name, [])
                if not seen or seen[-1] != version:
                    seen.append(version)

    def _finish(self) -> list[str]:
        """Heal all links, wait for recovery, stop gracefully and check."""
        findings: list[str] = []
        self.tier.proxy.heal()
        try:
            self._wait_recovered()
            findings.extend(self._check_final())
        except WaitTimeoutError as error:
            findings.append(f'no recovery after the faults: {error}')
        self._ended.set()
        findings.extend(
            f'{name}: exit status {status} at the end'
            for name, status in self.tier.stop_all().items()
            if status
        )
        self._stand_ins.collect_all()
        findings.extend(check_exchanges(self.journal))
        findings.extend(check_counters(self.journal))
        findings.extend(check_keys(self.journal))
        findings.extend(check_versions(self.journal))
        return findings

    def _wait_recovered(self) -> None:
        self.tier.wait_ready(
            *self.tier.instances, timeout_s=_RECOVERY_TIMEOUT_S
        )
        self._wait_complete()
        wait_until(
            self._are_changes_resolved,
            _RECOVERY_TIMEOUT_S,
            'verdicts on all changes',
        )

    def _are_changes_resolved(self) -> bool:
        self._load.resolve_changes()
        return all(change.verdict for change in self.journal.changes)

    def _wait_complete(self) -> None:
        """Wait until each entry returns a complete answer."""
        request = {
            'group': 'tracedesk',
            'class_name': 'teller',
            'query': {'item': -1},
            'limit': 1000,
        }
        for name in self.tier.instances:
            wait_until(
                partial(self._is_complete, name, request),
                _RECOVERY_TIMEOUT_S,
                f'complete answer of {name}',
            )

    def _is_complete(self, entry: str, request: dict[str, Any]) -> bool:
        answer = self._load.send(entry, 'tellers', request)
        return bool(answer and answer.get('outcome') == 'complete')

    def _check_final(self) -> Iterator[str]:
        first, *others = self.tier.instances
        # The latest change may not be active on any instance yet.
        newest = max(
            change.verdict['version']
            for change in self.journal.changes
            if change.verdict
        )
        self.tier.clients.wait_for_version(newest, [first, *others])
        catalogue = self.tier.clients.read(first, '/v1/catalogue')
        history = self.tier.clients.read(first, '/v1/history')
        yield from check_changes(self.journal.changes, catalogue, history)
        for name in others:
            if self.tier.clients.read(name, '/v1/catalogue') != catalogue:
                yield f'catalogues of {name} and {first} differ'

    def _summarize(self, findings: list[str]) -> dict[str, Any]:
        journal = self.journal
        verdicts = [
            change.verdict['outcome'] if change.verdict else 'unknown'
            for change in journal.changes
        ]
        return {
            'seed': self._seed,
            'seconds': round(time.monotonic() - journal.started, 1),
            'exchanges': journal.count_outcomes(),
            'reasons': journal.count_reasons(),
            'complete_ms': list_quantiles_ms(journal.exchanges),
            'changes': {
                verdict: verdicts.count(verdict) for verdict in set(verdicts)
            },
            'faults': dict(sorted(journal.faults.items())),
            'runs': journal.ran_requests.total(),
            'targets_crashed_by_requests': self._stand_ins.crashes,
            'breaches': self.tier.list_breaches(),
            'findings': [*journal.findings, *findings][:_MAX_FINDINGS],
        }
