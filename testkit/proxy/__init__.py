"""TCP proxy that injects faults into links between processes."""

from testkit.proxy._faults import HEALTHY, Fault
from testkit.proxy._proxy import FaultProxy

__all__ = ('HEALTHY', 'Fault', 'FaultProxy')
