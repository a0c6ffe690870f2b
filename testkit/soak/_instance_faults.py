"""Faults of instances and of the network links between them."""

import random
import threading
import time

from shallotgate.cli import ServerUnreachableError, UnknownOutcomeError
from testkit.runner import wait_until
from testkit.soak._context import FaultContext
from testkit.soak._records import Outage

_MAX_FREEZE_S = 9
_MAX_CUT_S = 9
_MAX_OUTAGE_S = 4
_MAX_CUT_LINKS = 4
_REPLACE_TIMEOUT_S = 60
_STOP_TIMEOUT_S = 40
_OK = 200


class InstanceFaults:
    """Kills, stops, freezes, partitions and wipes instances."""

    def __init__(self, context: FaultContext) -> None:
        self._tier = context.tier
        self._journal = context.journal
        self._load = context.load
        # Serialises concurrent faults on the same instance.
        self._locks = {
            name: threading.Lock() for name in context.tier.instances
        }

    def kill(self, generator: random.Random) -> None:
        """Kill an instance and restart it after a pause."""
        name = generator.choice(list(self._tier.instances))
        with self._locks[name]:
            self._journal.log_event(f'kill {name}')
            self._kill_for(name, generator.uniform(0, _MAX_OUTAGE_S))
            self._tier.restart(name)

    def stop(self, generator: random.Random) -> None:
        """Stop an instance gracefully and restart it."""
        name = generator.choice(list(self._tier.instances))
        with self._locks[name]:
            self._journal.log_event(f'stop {name}')
            self._load.remove_entry(name)
            try:
                status = self._tier.instances[name].stop(_STOP_TIMEOUT_S)
                if status:
                    self._journal.findings.append(
                        f'{name}: exit status {status} after a graceful stop',
                    )
                self._tier.restart(name)
            finally:
                self._load.restore_entry(name)

    def freeze(self, generator: random.Random) -> None:
        """Suspend an instance, possibly for longer than its lease."""
        name = generator.choice(list(self._tier.instances))
        with self._locks[name]:
            self._journal.log_event(f'freeze {name}')
            self._tier.instances[name].freeze()
            time.sleep(generator.uniform(1, _MAX_FREEZE_S))
            self._tier.instances[name].resume()

    def cut(self, generator: random.Random) -> None:
        """Drop the traffic of some links in one direction."""
        links = [
            link for link in self._tier.proxy.list_links() if link[0] != '>'
        ]
        chosen = generator.sample(links, generator.randint(1, _MAX_CUT_LINKS))
        self._journal.log_event(f'cut {" ".join(chosen)}')
        for link in chosen:
            self._tier.cut(*link.split('>'))
        time.sleep(generator.uniform(1, _MAX_CUT_S))
        self._tier.proxy.heal(*chosen)

    def isolate(self, generator: random.Random) -> None:
        """Partition an instance from all others in both directions."""
        name = generator.choice(list(self._tier.instances))
        self._journal.log_event(f'isolate {name}')
        self._tier.isolate(name)
        time.sleep(generator.uniform(1, _MAX_CUT_S))
        self._tier.proxy.heal(
            *(
                link
                for link in self._tier.proxy.list_links()
                if name in link.split('>')
            )
        )

    def wipe(self, generator: random.Random) -> None:
        """Delete the data of a control member and replace the member."""
        name = generator.choice(
            [
                plan.name
                for plan in self._tier.deployment.instances
                if plan.control
            ]
        )
        with self._locks[name]:
            self._journal.log_event(f'wipe {name}')
            self._kill_for(name, generator.uniform(0, _MAX_OUTAGE_S))
            self._tier.wipe(name)
            self._tier.instances[name].start()
            wait_until(
                lambda: self._replace(name),
                _REPLACE_TIMEOUT_S,
                f'{name} replaced',
            )
            self._tier.wait_ready(name)

    def _kill_for(self, name: str, pause_s: float) -> None:
        """Kill an instance and record the outage that callers may observe."""
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
            self._journal.log_event(f'replace {name}: {reply}')
        return reply.status == _OK
