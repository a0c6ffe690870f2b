"""Faults of instances and of the links between them."""

import random
import threading
import time

from shallotgate.cli import ServerUnreachableError, UnknownOutcomeError
from testkit.runner import wait_until
from testkit.soak._records import Outage
from testkit.soak._context import Scene

_LONGEST_FREEZE_S = 9
_LONGEST_CUT_S = 9
_LONGEST_OUTAGE_S = 4
_MOST_CUTS = 4
_REPLACE_LIMIT_S = 60
_STOP_LIMIT_S = 40
_OK = 200


class InstanceFaults:
    """Ends, freezes and cuts off instances."""

    def __init__(self, scene: Scene) -> None:
        self._tier = scene.tier
        self._journal = scene.journal
        self._load = scene.load
        # Faults that need the same instance wait for each other.
        self._locks = {name: threading.Lock() for name in scene.tier.instances}

    def kill(self, generator: random.Random) -> None:
        """End an instance without notice and start it again."""
        name = generator.choice(list(self._tier.instances))
        with self._locks[name]:
            self._journal.note(f'kill {name}')
            self._end(name, generator.uniform(0, _LONGEST_OUTAGE_S))
            self._tier.restart(name)

    def stop(self, generator: random.Random) -> None:
        """Stop an instance gracefully and start it again."""
        name = generator.choice(list(self._tier.instances))
        with self._locks[name]:
            self._journal.note(f'stop {name}')
            self._load.take_out(name)
            try:
                status = self._tier.instances[name].stop(_STOP_LIMIT_S)
                if status:
                    self._journal.findings.append(
                        f'{name}: exit status {status} after a graceful stop',
                    )
                self._tier.restart(name)
            finally:
                self._load.put_back(name)

    def freeze(self, generator: random.Random) -> None:
        """Stop an instance from running for longer than its lease."""
        name = generator.choice(list(self._tier.instances))
        with self._locks[name]:
            self._journal.note(f'freeze {name}')
            self._tier.instances[name].freeze()
            time.sleep(generator.uniform(1, _LONGEST_FREEZE_S))
            self._tier.instances[name].resume()

    def cut(self, generator: random.Random) -> None:
        """Cut some links in one direction only."""
        links = [
            link for link in self._tier.proxy.list_links() if link[0] != '>'
        ]
        chosen = generator.sample(links, generator.randint(1, _MOST_CUTS))
        self._journal.note(f'cut {" ".join(chosen)}')
        for link in chosen:
            self._tier.cut(*link.split('>'))
        time.sleep(generator.uniform(1, _LONGEST_CUT_S))
        self._tier.proxy.heal(*chosen)

    def isolate(self, generator: random.Random) -> None:
        """Cut an instance off in both directions."""
        name = generator.choice(list(self._tier.instances))
        self._journal.note(f'isolate {name}')
        self._tier.isolate(name)
        time.sleep(generator.uniform(1, _LONGEST_CUT_S))
        self._tier.proxy.heal(
            *(
                link
                for link in self._tier.proxy.list_links()
                if name in link.split('>')
            )
        )

    def wipe(self, generator: random.Random) -> None:
        """Lose the disk of a control member and replace the member."""
        name = generator.choice(
            [
                plan.name
                for plan in self._tier.deployment.instances
                if plan.control
            ]
        )
        with self._locks[name]:
            self._journal.note(f'wipe {name}')
            self._end(name, generator.uniform(0, _LONGEST_OUTAGE_S))
            self._tier.wipe(name)
            self._tier.instances[name].start()
            wait_until(
                lambda: self._replace(name),
                _REPLACE_LIMIT_S,
                f'{name} replaced',
            )
            self._tier.wait_ready(name)

    def _end(self, name: str, pause_s: float) -> None:
        """Kill an instance and record when callers could notice."""
        started = time.monotonic()
        self._tier.instances[name].kill()
        time.sleep(pause_s)
        self._journal.outages.append(
            Outage(name, started, time.monotonic()),
        )

    def _replace(self, name: str) -> bool:
        others = [other for other in self._tier.list_running() if other != name]
        client = self._tier.clients.operator(others[0])
        try:
            reply = client.call(
                'POST',
                '/v1/control/replace',
                {'instance': name},
            )
        except (ServerUnreachableError, UnknownOutcomeError):
            return False
        if reply.status != _OK:
            self._journal.note(f'replace {name}: {reply}')
        return reply.status == _OK
