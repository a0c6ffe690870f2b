"""Disk loss and replacement of control members."""

import subprocess
import sys
from pathlib import Path

from testkit.runner import OPERATOR_TOKENS, Tier, wait_until
from tests.support._timeouts import WAIT_TIMEOUT_S

ROOT = Path(__file__).resolve().parents[2]


def wipe(tier: Tier, name: str) -> None:
    """Kill a member, delete its data and restart it."""
    tier.instances[name].kill()
    tier.wipe(name)
    tier.instances[name].start()


def replace(tier: Tier, name: str, through: str) -> None:
    """Run ``shallotgate control replace`` until it succeeds."""
    address = tier.layout.addresses[through].operator
    command = [sys.executable, '-m', 'shallotgate.cli', 'control', 'replace']
    environment = {
        'SHALLOTGATE_URL': f'http://{address}',
        'SHALLOTGATE_TOKEN': OPERATOR_TOKENS['admin'],
        'PYTHONPATH': str(ROOT),
    }

    def is_member_replaced() -> bool:
        done = subprocess.run(
            [*command, name],
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            check=False,
        )
        print(done.returncode, done.stdout, done.stderr)
        return done.returncode == 0

    wait_until(is_member_replaced, WAIT_TIMEOUT_S, f'{name} replaced')
