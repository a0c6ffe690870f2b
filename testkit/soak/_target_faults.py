"""Faults of targets and administrative changes to failure domains."""

import random
import time

from shallotgate.cli import ServerUnreachableError, UnknownOutcomeError
from testkit.runner import wait_until
from testkit.soak._context import FaultContext

_MAX_OUTAGE_S = 4
_COLD_MS = 3000
_RETURN_TIMEOUT_S = 60
# Time after which a failure domain taken out must get no new attempts.
_DRAIN_TIMEOUT_S = 5
_OBSERVATION_S = 3
_CRASH_SENDS = 4
# Bound on the targets that one request may crash.
_MAX_CRASHED = 2


class TargetFaults:
    """Crashes, cools and repartitions targets; takes domains out."""

    def __init__(self, context: FaultContext) -> None:
        self._tier = context.tier
        self._journal = context.journal
        self._load = context.load
        self._stand_ins = context.stand_ins

    def crash_target(self, generator: random.Random) -> None:
        """Kill a stand-in target and restart it after a pause."""
        name = generator.choice(list(self._tier.targets))
        self._journal.log_event(f'crash {name}')
        self._stand_ins.crash(name, generator.uniform(0, _MAX_OUTAGE_S))

    def reset_target_to_cold(self, generator: random.Random) -> None:
        """Reset a target to its cold state without a restart."""
        name = generator.choice(list(self._tier.targets))
        self._stand_ins.change(name, turn_cold_ms=_COLD_MS)

    def repartition(self, generator: random.Random) -> None:
        """Publish an index version with a different partition count."""
        self._stand_ins.repartition('tracedesk', generator.uniform(0, 1))

    def send_crashing_request(self, generator: random.Random) -> None:
        """Repeatedly send a request that crashes every target that runs it."""
        before = self._stand_ins.crashes
        request = {
            'group': 'tracedesk',
            'class_name': 'teller',
            'query': {'crash': True, 'number': generator.randrange(2**32)},
        }
        for _ in range(_CRASH_SENDS):
            entry = generator.choice(list(self._tier.instances))
            self._load.send(entry, 'tellers', request)
            time.sleep(generator.uniform(0, 1))
        time.sleep(1)
        crashed = self._stand_ins.crashes - before
        self._journal.log_event(f'{crashed} targets crashed by one request')
        if crashed > _MAX_CRASHED:
            self._journal.findings.append(
                f'{crashed} targets crashed by one request: {request}',
            )

    def take_domain_out(self, generator: random.Random) -> None:
        """Take a failure domain out of service and return it."""
        domain = generator.choice(self._tier.deployment.list_domains())
        self._journal.log_event(f'take {domain} out')
        if not self._set_domain(domain, taken_out=True):
            return
        time.sleep(_DRAIN_TIMEOUT_S)
        before = self._stand_ins.count_runs(domain)
        time.sleep(_OBSERVATION_S)
        after = self._stand_ins.count_runs(domain)
        if after > before:
            self._journal.findings.append(
                f'{domain}: {after - before} runs after it was taken out',
            )
        wait_until(
            lambda: self._set_domain(domain, taken_out=False),
            _RETURN_TIMEOUT_S,
            f'{domain} returned',
        )

    def _set_domain(self, domain: str, *, taken_out: bool) -> bool:
        entry = self._tier.list_running()[0]
        edit = {
            'op': 'put',
            'kind': 'domains',
            'name': domain,
            'spec': {
                'owner': 'platform',
                'region': self._tier.deployment.region,
                'taken_out': taken_out,
            },
        }
        try:
            self._tier.clients.change(entry, [edit], 'soak')
        except (ServerUnreachableError, UnknownOutcomeError, AssertionError):
            return False
        return True
