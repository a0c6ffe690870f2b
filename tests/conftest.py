"""Fixtures of the integration tests of whole tiers."""

import pytest

from tests.support import choose_seed, make_random, run_harness


@pytest.fixture
def seed():
    return choose_seed()


@pytest.fixture
def generator():
    return make_random()


@pytest.fixture(scope='module')
def running_harness():
    with run_harness() as harness:
        yield harness


@pytest.fixture
def harness(running_harness):
    """Return the harness of the test module without injected faults."""
    running_harness.restore()
    return running_harness
