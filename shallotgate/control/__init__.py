"""Duties of the control leader: leases, owners and operators' calls."""

from shallotgate.control._log import ReplicatedLog
from shallotgate.control._service import ControlService
from shallotgate.control._sessions import DRIFT, LEASE_S

__all__ = ('DRIFT', 'LEASE_S', 'ControlService', 'ReplicatedLog')
