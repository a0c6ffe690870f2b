import subprocess
import sys

import pytest


@pytest.mark.slow
def test_demo_answers_completely_and_stops_gracefully():
    """Guards against a demonstration that fails or exits uncleanly."""
    command = [sys.executable, '-m', 'testkit.demo']
    run = subprocess.run(command, capture_output=True, check=False, text=True)
    assert run.returncode == 0, run.stdout + run.stderr
