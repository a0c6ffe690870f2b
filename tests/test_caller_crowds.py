"""Crowds at both addresses of an instance of the product's own interface.

Checked is only what does not depend on the speed of the machine: the process
lives, its memory grows by no more than a bound, and an ordinary request is
answered while the crowd is there.
"""

import json
import os
import subprocess
import sys
import time

import pytest
import urllib3
from crowd import Crowd, ProcessWatch, make_shapes

from testkit.runner._process import choose_address

pytestmark = pytest.mark.crowd

_CALLERS = 100
_BODY_BYTES = 1_000_000
# Growth that is allowed with the default limits.
_MAX_GROWTH_MIB = 64
_SEND_TIMEOUT_S = 10
_WAIT_S = 20
SHAPES = make_shapes(b'POST', b'/v1/query', _BODY_BYTES)


class Daemon:
    """An instance with both roles and few threads for callers."""

    def __init__(self, folder):
        self.callers, self.operators, peer = (
            choose_address() for _ in range(3)
        )
        settings = {
            'instance': 'a',
            'domain': 'd',
            'roles': ['entry', 'control'],
            'peer_address': peer,
            'caller_address': self.callers,
            'operator_address': self.operators,
            'control_members': [{'instance': 'a', 'address': peer}],
            'data_folder': 'data',
            'bootstrap': True,
            'caller_threads': 8,
        }
        path = folder / 'a.yaml'
        path.write_text(json.dumps(settings))
        with (folder / 'a.log').open('w') as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'shallotgate.daemon',
                    '--settings',
                    path,
                ],
                env=os.environ,
                stdout=log,
                stderr=log,
            )

    def is_answering(self, address):
        """Return whether an ordinary request on a new connection is answered.

        Whether the instance is ready does not matter.
        """
        with urllib3.PoolManager(retries=False, timeout=3) as http:
            try:
                response = http.request('GET', f'http://{address}/readyz')
            except urllib3.exceptions.HTTPError:
                return False
            return b'ready' in response.data

    def wait_answering(self, address):
        deadline = time.monotonic() + _WAIT_S
        while not self.is_answering(address):
            assert time.monotonic() < deadline, 'no answer'
            time.sleep(0.05)


@pytest.fixture
def daemon(tmp_path):
    daemon = Daemon(tmp_path)
    yield daemon
    daemon.process.kill()
    daemon.process.wait(5)


@pytest.mark.parametrize('shape', [*SHAPES, 'all'])
@pytest.mark.parametrize('kind', ['callers', 'operators'])
def test_crowd_costs_a_daemon_no_more_than_its_limits(daemon, kind, shape):
    """Guards against slow senders that occupy all threads or the memory."""
    address = getattr(daemon, kind)
    daemon.wait_answering(address)
    kinds = list(SHAPES.values()) if shape == 'all' else [SHAPES[shape]]
    callers = [kinds[number % len(kinds)] for number in range(_CALLERS)]
    watch = ProcessWatch(daemon.process)
    with Crowd(address, callers) as crowd:
        crowd.wait_sent(_SEND_TIMEOUT_S)
        daemon.wait_answering(address)
    daemon.wait_answering(address)
    assert daemon.process.poll() is None
    grown_mib, _ = watch.stop()
    print(f'{grown_mib:.1f} MiB more')
    assert grown_mib < _MAX_GROWTH_MIB
