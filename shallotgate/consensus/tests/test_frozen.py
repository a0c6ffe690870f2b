import json
import os
import signal
import subprocess
import sys
import time

import pytest

from shallotgate.consensus.tests.cluster import wait_for

MEMBER_SCRIPT = """
import json, pathlib, sys, time
from shallotgate.consensus.tests.cluster import Cluster
folder, addresses = sys.argv[1:]
cluster = Cluster(pathlib.Path(folder), ())
cluster.addresses = json.loads(addresses)
cluster.start('a')
log = cluster.nodes['a'].log
while True:
    # Read before the check: a stop in between must not look like a fault.
    now = time.monotonic()
    if log.is_leading():
        print(now, flush=True)
    time.sleep(0.001)
"""


@pytest.fixture
def frozen_member(cluster, tmp_path):
    cluster.stop('a')
    with subprocess.Popen(
        [
            sys.executable,
            '-c',
            MEMBER_SCRIPT,
            str(tmp_path),
            json.dumps(cluster.addresses),
        ],
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        yield process
        process.kill()


def make_leader(cluster, name):
    """Transfer leadership until the given external member leads."""

    def leads():
        for node in cluster.nodes.values():
            if node.log.is_leading():
                node.log.transfer_leadership()
        return all(node.log.leader == name for node in cluster.nodes.values())

    wait_for(leads, timeout_s=30)


def test_woken_leader_does_not_act_on_its_old_lease(cluster, frozen_member):
    """Guards against a process that leads on with an expired lease.

    The process is frozen by SIGSTOP while another leader is elected.
    """
    make_leader(cluster, 'a')
    first_led_at = float(frozen_member.stdout.readline())
    os.kill(frozen_member.pid, signal.SIGSTOP)
    try:
        cluster.wait_leader()
        elected_at = time.monotonic()
        cluster.propose(b'new')
    finally:
        os.kill(frozen_member.pid, signal.SIGCONT)
    follower = cluster.find_leader()
    wait_for(
        lambda: any(
            each.instance == 'a'
            and each.match_index == follower.log.status().last_index
            for each in follower.log.status().members
        )
    )
    frozen_member.kill()
    led_at = [first_led_at, *map(float, frozen_member.stdout)]
    assert max(led_at) < elected_at
