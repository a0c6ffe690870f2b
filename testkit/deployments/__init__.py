"""Example deployments of two users, full size and reduced."""

from testkit.deployments._clearing import CLEARING, make_small_clearing
from testkit.deployments._packhouse import PACKHOUSE

__all__ = ('CLEARING', 'PACKHOUSE', 'make_small_clearing')
