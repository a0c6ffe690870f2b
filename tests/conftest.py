"""Fixtures of the tests of whole tiers."""

import pytest

from tests.support import choose_seed, make_random, run_scene


@pytest.fixture
def seed():
    return choose_seed()


@pytest.fixture
def generator():
    return make_random()


@pytest.fixture(scope='module')
def running_scene():
    with run_scene() as scene:
        yield scene


@pytest.fixture
def scene(running_scene):
    """Return the scene of the file, whole again."""
    running_scene.restore()
    return running_scene
