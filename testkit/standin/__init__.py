"""Stand-in target: the target protocol with faults that tests switch on."""

from testkit.standin._matches import make_matches
from testkit.standin._process import StandinProcess
from testkit.standin._server import StandinServer
from testkit.standin._target import Behaviour, StandinTarget, parse_version

__all__ = (
    'Behaviour',
    'StandinProcess',
    'StandinServer',
    'StandinTarget',
    'make_matches',
    'parse_version',
)
