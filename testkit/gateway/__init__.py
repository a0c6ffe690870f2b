"""In-memory simulation of entries and targets for load tests of the gateway."""

from testkit.gateway._quota_tier import QuotaEntry, QuotaTier, count_peak
from testkit.gateway._simulation import DOMAINS, SimulatedEntry
from testkit.gateway._targets import SimulatedTarget
from testkit.gateway._tier import SimulatedTier

__all__ = (
    'DOMAINS',
    'QuotaEntry',
    'QuotaTier',
    'SimulatedEntry',
    'SimulatedTarget',
    'SimulatedTier',
    'count_peak',
)
