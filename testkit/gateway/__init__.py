"""Targets without network, for tests of the gateway under load."""

from testkit.gateway._simulation import SimulatedEntry
from testkit.gateway._targets import SimulatedTarget
from testkit.gateway._tier import SimulatedTier

__all__ = ('SimulatedEntry', 'SimulatedTarget', 'SimulatedTier')
