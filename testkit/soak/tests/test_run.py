import subprocess
import sys

import pytest


@pytest.mark.slow
def test_guarantees_hold_under_load_and_faults():
    """Guards against guarantee violations that occur on real processes only."""
    command = [sys.executable, '-m', 'testkit.soak', '--seed=6', '--minutes=1']
    run = subprocess.run(command, capture_output=True, check=False, text=True)
    assert run.returncode == 0, run.stdout + run.stderr
