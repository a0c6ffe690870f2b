"""In-memory simulation of entries and targets for load tests of the gateway."""

from testkit.gateway._simulation import SimulatedEntry
from testkit.gateway._targets import SimulatedTarget
from testkit.gateway._tier import SimulatedTier

__all__ = ('SimulatedEntry', 'SimulatedTarget', 'SimulatedTier')
