"""What scenario events do to a running deployment."""

import json
import threading
import time
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

import urllib3

from testkit.bench._scenario import Event, Scenario
from testkit.runner import Tier

_Action = Callable[[Tier, Event], None]


def run_events(
    tier: Tier,
    scenario: Scenario,
    read_elapsed_s: Callable[[], float],
) -> threading.Thread:
    """Start a thread that carries the events out at their times."""
    thread = threading.Thread(
        target=_run_events,
        args=(tier, scenario, read_elapsed_s),
        daemon=True,
    )
    thread.start()
    return thread


def _run_events(
    tier: Tier,
    scenario: Scenario,
    read_elapsed_s: Callable[[], float],
) -> None:
    for event in sorted(scenario.events, key=lambda event: event.at_s):
        wait_s = event.at_s - read_elapsed_s()
        if wait_s > 0:
            time.sleep(wait_s)
        ACTIONS[event.action](tier, event)


def set_behaviour(tier: Tier, target: str, **changes: object) -> None:
    """Change how a stand-in target behaves."""
    address = tier.layout.target_routes[target]
    reply = urllib3.request(
        'POST',
        f'http://{address}/v1/admin',
        body=json.dumps(changes).encode(),
    )
    if reply.status != 200:
        raise AssertionError(f'{target}: {reply.data!r}')


def set_domain(tier: Tier, domain: str, **changes: object) -> int:
    """Change a failure domain in the catalogue; return the version."""
    spec = {
        'owner': tier.deployment.owner,
        'region': tier.deployment.region,
        **changes,
    }
    edit = {'op': 'put', 'kind': 'domains', 'name': domain, 'spec': spec}
    return tier.change([edit], 'bench')


def find_leader(tier: Tier) -> str:
    """Return the control leader."""
    for name in tier.list_running():
        status: Any = tier.clients.read(name, '/v1/status')
        if status and status.get('leader'):
            return str(status['leader'])
    raise AssertionError('no instance names a leader')


def _slow(tier: Tier, event: Event) -> None:
    set_behaviour(tier, event.subject, slow_factor=event.amount)


def _turn_cold(tier: Tier, event: Event) -> None:
    for service, target in tier.deployment.list_targets():
        if service.name == event.subject:
            set_behaviour(tier, target.name, turn_cold_ms=event.amount)


def _take_out(tier: Tier, event: Event) -> None:
    set_domain(tier, event.subject, taken_out=True)


def _return(tier: Tier, event: Event) -> None:
    set_domain(tier, event.subject, taken_out=False)


def _restart_target(tier: Tier, event: Event) -> None:
    tier.targets[event.subject].kill()
    tier.targets[event.subject].start()


def _kill(tier: Tier, event: Event) -> None:
    tier.instances[event.subject].kill()


def _kill_leader(tier: Tier, _: Event) -> None:
    tier.instances[find_leader(tier)].kill()


def _stop(tier: Tier, event: Event) -> None:
    tier.instances[event.subject].stop()


def _start(tier: Tier, event: Event) -> None:
    tier.instances[event.subject].start()


ACTIONS: Mapping[str, _Action] = MappingProxyType(
    {
        'slow': _slow,
        'turn_cold': _turn_cold,
        'take_out': _take_out,
        'return': _return,
        'restart_target': _restart_target,
        'kill': _kill,
        'kill_leader': _kill_leader,
        'stop': _stop,
        'start': _start,
    }
)
