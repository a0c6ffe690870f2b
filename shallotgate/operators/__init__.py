"""HTTP API for operators: catalogue, status, metrics and health."""

from shallotgate.operators._application import OperatorApplication
from shallotgate.operators._ports import LeaderPort, OperatorPorts

__all__ = ('LeaderPort', 'OperatorApplication', 'OperatorPorts')
