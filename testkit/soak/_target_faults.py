"""Faults of targets, and changes that operators make to domains."""

import random
import time

from shallotgate.cli import ServerUnreachableError, UnknownOutcomeError
from testkit.runner import wait_until
from testkit.soak._context import Scene

_LONGEST_OUTAGE_S = 4
_COLD_MS = 3000
_RETURN_LIMIT_S = 60
# A failure domain that is taken out gets no new work after this time.
_OUT_LIMIT_S = 5
_OUT_S = 3
_CRASH_SENDS = 4
# Two targets at most are lost to one request.
_MOST_LOST = 2


class TargetFaults:
    """Crashes, chills and repartitions targets and takes domains out."""

    def __init__(self, scene: Scene) -> None:
        self._tier = scene.tier
        self._journal = scene.journal
        self._load = scene.load
        self._stand_ins = scene.stand_ins

    def crash_target(self, generator: random.Random) -> None:
        """End a target without notice and start it again."""
        name = generator.choice(list(self._tier.targets))
        self._journal.note(f'crash {name}')
        self._stand_ins.crash(name, generator.uniform(0, _LONGEST_OUTAGE_S))

    def chill_target(self, generator: random.Random) -> None:
        """Let a target turn cold without a restart."""
        name = generator.choice(list(self._tier.targets))
        self._stand_ins.change(name, turn_cold_ms=_COLD_MS)

    def repartition(self, generator: random.Random) -> None:
        """Publish a new index version with other partitions."""
        self._stand_ins.repartition('tracedesk', generator.uniform(0, 1))

    def send_crash(self, generator: random.Random) -> None:
        """Resend a request that crashes each target that runs it."""
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
        lost = self._stand_ins.crashes - before
        self._journal.note(f'{lost} targets lost to one request')
        if lost > _MOST_LOST:
            self._journal.findings.append(
                f'{lost} targets lost to one request: {request}',
            )

    def take_domain_out(self, generator: random.Random) -> None:
        """Take a failure domain out and return it."""
        domain = generator.choice(self._tier.deployment.list_domains())
        self._journal.note(f'take {domain} out')
        if not self._set_domain(domain, taken_out=True):
            return
        time.sleep(_OUT_LIMIT_S)
        before = self._stand_ins.count_runs(domain)
        time.sleep(_OUT_S)
        after = self._stand_ins.count_runs(domain)
        if after > before:
            self._journal.findings.append(
                f'{domain}: {after - before} runs after it was taken out',
            )
        wait_until(
            lambda: self._set_domain(domain, taken_out=False),
            _RETURN_LIMIT_S,
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
