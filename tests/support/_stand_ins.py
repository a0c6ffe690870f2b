"""Changes to stand-in targets, and what these counted."""

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
    """Change a stand-in and return all that it counted."""
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
    """Change a stand-in and return its counters."""
    return Counter(configure_target(tier, name, **edits)['counters'])


def restart_target(tier: Tier, name: str) -> None:
    """End a stand-in without notice and start it again."""
    tier.targets[name].kill()
    tier.targets[name].start()
    wait_until(
        lambda: is_listening(tier, name), WAIT_TIMEOUT_S, f'{name} listens'
    )


def is_listening(tier: Tier, name: str) -> bool:
    """Return whether a stand-in answers."""
    try:
        configure_target(tier, name)
    except urllib3.exceptions.HTTPError:
        return False
    return True


def check_limits(tier: Tier) -> None:
    """Check the counters of all stand-ins against the catalogue."""
    for service, target in tier.deployment.list_targets():
        seen = set_target_behavior(tier, target.name)
        # A stand-in sheds what exceeds its slots.
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
    """Check that stand-ins get no attempt once the stated bound has passed.

    ``disturb`` runs between the two readings of their counters.
    """
    time.sleep(max(since + PROPAGATION_BOUND_S - time.monotonic(), 0))
    first = _count_attempts(tier, names)
    disturb()
    last = _count_attempts(tier, names)
    assert last == first, (first, last)


def _count_attempts(tier: Tier, names: Sequence[str]) -> dict[str, list[int]]:
    """Return how many attempts each stand-in ran and refused as draining."""
    counters = {name: set_target_behavior(tier, name) for name in names}
    return {
        name: [seen['ran'], seen['draining']] for name, seen in counters.items()
    }
