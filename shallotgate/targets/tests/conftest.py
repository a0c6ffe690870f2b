"""Fixtures for the tests of targets."""

import pytest

from shallotgate.invariants import read_breaches
from shallotgate.targets.tests.fakes import Rig


@pytest.fixture
def make_rig():
    rigs = []

    def make(**options):
        rigs.append(Rig(**options))
        return rigs[-1]

    before = read_breaches()
    yield make
    for rig in rigs:
        rig.close()
    assert read_breaches() == before
