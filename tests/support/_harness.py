"""Harness of real processes for the tests of answer guarantees."""

import contextlib
import itertools
import random
import re
from collections.abc import Iterator
from typing import Any

import urllib3

from testkit.proxy import Fault
from testkit.runner import Tier, wait_until
from tests.support._load import QueryLoad
from tests.support._queries import ask, wait_answered
from tests.support._search_deployment import (
    PARTITIONS,
    SEARCH_GROUP,
    SERVICE_MS,
    make_search_deployment,
)
from tests.support._stand_ins import configure_target
from tests.support._timeouts import WAIT_TIMEOUT_S


class TierHarness:
    """A running tier and control of its stand-in targets."""

    def __init__(self, tier: Tier) -> None:
        self.tier = tier
        self.entries = list(tier.instances)
        self.targets = {
            target.name: service
            for service, target in tier.deployment.list_targets()
        }
        # Number of partitions of each index version of the searched group.
        self.partitions = {1: PARTITIONS}
        self._versions = {
            name: [
                {
                    'index_version': 1,
                    'partitions': service.partitions,
                    'held': list(service.held),
                }
            ]
            for name, service in self.targets.items()
        }

    def list_targets(self, service):
        return [
            name
            for name, place in self.targets.items()
            if place.name == service
        ]

    def set(self, target, **edits):
        """Configure a stand-in and return its counters."""
        return configure_target(self.tier, target, **edits)

    def set_versions(self, target, versions):
        self._versions[target] = versions
        self.set(target, versions=versions)

    def read_versions(self, target):
        return self._versions[target]

    def sum_counts(self, kind):
        """Return counts by request id or key, summed over all stand-ins."""
        total = {}
        for target in self.targets:
            for name, count in self.set(target)[kind].items():
                total[name] = total.get(name, 0) + count
        return total

    def get_counter(self, entry, name):
        """Return a metric of an entry, summed over its label values."""
        text = self.tier.clients.read(entry, '/metrics')
        pattern = rf'^\w*{name}(?:\{{.*\}})? (\S+)$'
        return sum(map(float, re.findall(pattern, text, re.MULTILINE)))

    def ask(self, entry, query, **fields):
        """Return the answer, or None if the connection broke."""
        return ask(self.tier, entry, make_request(query, **fields))

    def wait_serving(self):
        """Wait until each entry returns a complete answer."""
        wait_answered(
            self.tier, self.entries, make_request({'probe': 'serving'})
        )

    def restore(self):
        """Remove all injected faults and wait for complete answers."""
        for process in self.tier.list_processes():
            if not process.is_running():
                process.start()
            process.resume()
        self.tier.proxy.heal()
        self.tier.wait_ready(*self.entries)
        for target in self.targets:
            wait_until(
                lambda target=target: self._reset(target),
                WAIT_TIMEOUT_S,
                f'{target} listens',
            )
        self.wait_serving()
        # Excludes requests of earlier tests from the counters.
        for target in self.targets:
            self.set(target, reset=True)

    def _reset(self, target):
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            self.set(
                target,
                versions=self._versions[target],
                service_ms=SERVICE_MS,
                slow_factor=1,
                shedding=False,
                draining=False,
                nonsense='',
                covers_part=False,
                reset=True,
            )
            return True
        return False

    def delay(self, target, delay_ms):
        self.tier.proxy.set_fault(f'>{target}', Fault(delay_ms=delay_ms))

    def cut(self, target):
        self.tier.proxy.set_fault(f'>{target}', Fault(reset=True))


@contextlib.contextmanager
def run_harness(once_services: int = 0) -> Iterator[TierHarness]:
    """Run a tier and check at the end that no invariant was broken."""
    deployment = make_search_deployment(once_services)
    with Tier(deployment, proxied=True) as tier:
        tier.start()
        harness = TierHarness(tier)
        harness.wait_serving()
        yield harness
        assert tier.list_breaches() == []


class Load(QueryLoad):
    """Sends distinct queries to the tier of a harness."""

    def __init__(
        self,
        harness: TierHarness,
        generator: random.Random,
        workers: int = 6,
        **fields: Any,
    ) -> None:
        seed = generator.getrandbits(32)
        numbers = itertools.count()
        super().__init__(
            harness.tier,
            seed,
            workers,
            lambda _: make_request(
                {'seed': seed, 'number': next(numbers)}, **fields
            ),
        )


def make_request(query: dict[str, Any], **fields: Any) -> dict[str, Any]:
    """Return a query request for the searched group."""
    request = {
        'group': SEARCH_GROUP,
        'class_name': 'plain',
        'query': query,
        'limit': 1000,
    }
    return request | fields
