import random
import threading
import time

from testkit.runner import wait_until
from tests.support import (
    WAIT_TIMEOUT_S,
    SteadyLoad,
    find_leader,
    is_serving,
    make_tier,
    wait_complete,
)

# Delay after which the balancer acts on a readiness reply.
READINESS_LAG_S = 0.5
POLL_S = 0.05
ANSWERS = 100
# An owner that releases its targets makes the wait for its lease needless.
HANDOVER_S = 3


class LoadBalancer:
    """Sends to the entries that were ready some time ago.

    Like the platform's balancer it polls ``/readyz`` of the caller address
    and acts on each reply only after a lag.
    """

    def __init__(self, tier):
        self._tier = tier
        self._stopped = threading.Event()
        # Monotonic time and the ready entries, oldest first.
        self._history = [(0, tuple(tier.instances))]
        self._threads = [
            threading.Thread(target=self._poll, daemon=True),
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._stopped.set()
        for thread in self._threads:
            thread.join(WAIT_TIMEOUT_S)

    def list_ready(self):
        """Return the entries to send to at this moment."""
        known_at = time.monotonic() - READINESS_LAG_S
        return [ready for at, ready in self._history if at <= known_at][-1]

    def _poll(self):
        while not self._stopped.wait(POLL_S):
            ready = tuple(
                name
                for name in self._tier.instances
                if is_serving(self._tier, name)
            )
            self._history.append((time.monotonic(), ready))


def list_owned(tier, reader, owner):
    """Return the targets of an owner as another instance sees it."""
    page = tier.clients.read(reader, '/v1/targets')
    return {
        row['target']
        for row in page['targets']
        if row['ownership'] and row['ownership']['instance'] == owner
    }


def test_rolling_restart_cuts_no_request(seed):
    """Guards against planned stops that interrupt requests."""
    generator = random.Random(seed)
    with make_tier(seed) as tier:
        tier.start()
        wait_complete(tier)
        names = generator.sample(list(tier.instances), len(tier.instances))
        with (
            LoadBalancer(tier) as balancer,
            SteadyLoad(tier, seed, balancer.list_ready) as load,
        ):
            for name in names:
                load.wait_further(ANSWERS)
                check_restart(tier, name)
                wait_until(
                    lambda name=name: name in balancer.list_ready(),
                    WAIT_TIMEOUT_S,
                    f'{name} in the rotation',
                )
            load.wait_further(ANSWERS)
        print(f'answers: {dict(load.count())}')
        bad = load.list_with_outcomes(
            'refused', 'failed', 'unknown', 'cut', 'no_entry'
        )
        for record in bad:
            print(record)
        assert bad == []
        assert set(load.count()) == {'complete'}
        assert tier.list_breaches() == []


def check_restart(tier, name):
    """Stop and start an entry; its targets must have other owners."""
    other = next(entry for entry in tier.instances if entry != name)
    wait_until(
        lambda: list_owned(tier, other, name),
        WAIT_TIMEOUT_S,
        f'targets of {name}',
    )
    held = list_owned(tier, other, name)
    process = tier.instances[name]
    process.terminate()
    status = process.wait(WAIT_TIMEOUT_S)
    ended_at = time.monotonic()
    wait_until(
        lambda: not list_owned(tier, other, name),
        WAIT_TIMEOUT_S,
        f'targets of {name} handed over',
    )
    elapsed_s = time.monotonic() - ended_at
    print(f'{name}: status {status}, {len(held)} handed over {elapsed_s:.2f} s')
    assert status == 0
    assert held
    # A longer time means that they were reassigned only at lease expiry.
    assert elapsed_s < HANDOVER_S
    find_leader(tier)
    tier.restart(name)
