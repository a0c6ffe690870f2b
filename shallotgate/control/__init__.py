"""Duties of the control leader: leases, owners and operators' calls."""

from shallotgate.control._log import ReplicatedLog
from shallotgate.control._service import ControlService
from shallotgate.control._sessions import LEASE_S, MAX_CLOCK_DRIFT

__all__ = ('LEASE_S', 'MAX_CLOCK_DRIFT', 'ControlService', 'ReplicatedLog')
