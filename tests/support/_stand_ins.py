"""Configuration and counters of stand-in targets."""

import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

import urllib3

from shallotgate.codec import decode_json, encode_json
from testkit.runner import Tier, wait_until
from tests.support._timeouts import PROPAGATION_BOUND_S, WAIT_TIMEOUT_S

_TIMEOUT_S = 10


def configure_target(tier: Tier, name: str, **edits: Any) -> dict[str, Any]:
    """Configure a stand-in and return all of its counters."""
    response = urllib3.request(
        'POST',
        f'http://{tier.layout.listen_addresses[name]}/v1/admin',
        body=encode_json(edits),
        headers={'Connection': 'close'},
        timeout=_TIMEOUT_S,
        retries=False,
    )
    assert response.status == 200, response.data
    return decode_json(response.data, dict)


def set_target_behavior(tier: Tier, name: str, **edits: Any) -> Counter[str]:
    """Configure a stand-in and return its event counters."""
    return Counter(configure_target(tier, name, **edits)['counters'])


def restart_target(tier: Tier, name: str) -> None:
    """Kill a stand-in and restart it."""
    tier.targets[name].kill()
    tier.targets[name].start()
    wait_until(
        lambda: is_listening(tier, name), WAIT_TIMEOUT_S, f'{name} listens'
    )


def is_listening(tier: Tier, name: str) -> bool:
    """Return whether a stand-in accepts requests."""
    try:
        configure_target(tier, name)
    except urllib3.exceptions.HTTPError:
        return False
    return True


def check_limits(tier: Tier) -> None:
    """Check that no stand-in was used beyond its catalogue limits."""
    for service, target in tier.deployment.list_targets():
        seen = set_target_behavior(tier, target.name)
        # A stand-in sheds attempts beyond its slots.
        assert seen['shed'] == 0, (target.name, seen)
        assert seen['most_busy'] <= service.slots, (target.name, seen)
        assert seen['connections_refused'] == 0, (target.name, seen)
        peak = seen['most_connections']
        assert peak <= service.connections, (target.name, seen)
        assert seen['collapses'] == 0, (target.name, seen)


def check_no_further_attempts(
    tier: Tier,
    names: Sequence[str],
    since: float,
    disturb: Callable[[], None],
) -> None:
    """Check that stand-ins receive no attempt after the stated bound.

    ``disturb`` runs between the two readings of their counters.
    """
    time.sleep(max(since + PROPAGATION_BOUND_S - time.monotonic(), 0))
    first = _count_attempts(tier, names)
    disturb()
    last = _count_attempts(tier, names)
    assert last == first, (first, last)


def _count_attempts(tier: Tier, names: Sequence[str]) -> dict[str, list[int]]:
    """Count attempts that each stand-in ran or refused as draining."""
    counters = {name: set_target_behavior(tier, name) for name in names}
    return {
        name: [seen['ran'], seen['draining']] for name, seen in counters.items()
    }
