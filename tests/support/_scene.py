"""A tier of real processes for the proofs of the answers' guarantees."""

import contextlib
import itertools
import random
import re
from collections.abc import Iterator
from typing import Any

import urllib3

from testkit.proxy import Fault
from testkit.runner import Tier, wait_until
from tests.support._asking import ask, wait_answered
from tests.support._limits import LIMIT_S
from tests.support._load import QueryLoad
from tests.support._search import FIND, PARTITIONS, SERVICE_MS, make_search
from tests.support._standins import set_target


class Scene:
    """A running tier, its stand-ins and what callers were answered."""

    def __init__(self, tier: Tier) -> None:
        self.tier = tier
        self.entries = list(tier.instances)
        self.targets = {
            target.name: service
            for service, target in tier.deployment.list_targets()
        }
        # Partitions of each index version of the group that is searched.
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
        """Change a stand-in and return what it counted."""
        return set_target(self.tier, target, **edits)

    def set_versions(self, target, versions):
        self._versions[target] = versions
        self.set(target, versions=versions)

    def read_versions(self, target):
        return self._versions[target]

    def sum_counts(self, kind):
        """Return a counter of all stand-ins, by request id or key."""
        total = {}
        for target in self.targets:
            for name, count in self.set(target)[kind].items():
                total[name] = total.get(name, 0) + count
        return total

    def read_counter(self, entry, name):
        """Return a counter of an entry, summed over its labels."""
        text = self.tier.clients.read(entry, '/metrics')
        pattern = rf'^\w*{name}(?:\{{.*\}})? (\S+)$'
        return sum(map(float, re.findall(pattern, text, re.MULTILINE)))

    def ask(self, entry, query, **fields):
        """Return the answer, None if the connection broke."""
        return ask(self.tier, entry, make_request(query, **fields))

    def wait_serving(self):
        """Wait until each entry answers a search completely."""
        wait_answered(
            self.tier, self.entries, make_request({'probe': 'serving'})
        )

    def restore(self):
        """Undo every fault and wait until all is served again."""
        for process in self.tier.list_processes():
            if not process.is_running():
                process.start()
            process.resume()
        self.tier.proxy.heal()
        self.tier.wait_ready(*self.entries)
        for target in self.targets:
            wait_until(
                lambda target=target: self._reset(target),
                LIMIT_S,
                f'{target} listens',
            )
        self.wait_serving()
        # So that a test counts its own requests only.
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
def run_scene(once_services: int = 0) -> Iterator[Scene]:
    """Run a tier; at its end no process may have broken an invariant."""
    deployment = make_search(once_services)
    with Tier(deployment, proxied=True) as tier:
        tier.start()
        scene = Scene(tier)
        scene.wait_serving()
        yield scene
        assert tier.list_breaches() == []


class Load(QueryLoad):
    """Sends distinct queries to a scene until the block is left."""

    def __init__(
        self,
        scene: Scene,
        generator: random.Random,
        workers: int = 6,
        **fields: Any,
    ) -> None:
        seed = generator.getrandbits(32)
        numbers = itertools.count()
        super().__init__(
            scene.tier,
            seed,
            workers,
            lambda _: make_request(
                {'seed': seed, 'number': next(numbers)}, **fields
            ),
        )


def make_request(query: dict[str, Any], **fields: Any) -> dict[str, Any]:
    """Return a request of the caller to the searched group."""
    request = {
        'group': FIND,
        'class_name': 'plain',
        'query': query,
        'limit': 1000,
    }
    return request | fields
