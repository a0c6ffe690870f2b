"""Choice of replicas, budgets for extra load, and the way to owners."""

from shallotgate.routing._budget import Budget
from shallotgate.routing._candidate import Candidate
from shallotgate.routing._chooser import ReplicaChooser, Route
from shallotgate.routing._index import IndexChoice, IndexMap
from shallotgate.routing._latency import LatencyTracker
from shallotgate.routing._mailbox_port import LocalTargets, MailboxAttemptPort
from shallotgate.routing._observations import (
    OWNER_LOST_REASONS,
    TargetObservation,
    TargetObservations,
    is_target_lost,
)
from shallotgate.routing._port import AttemptPort, ReplySink
from shallotgate.routing._preference import leave_out, prefer
from shallotgate.routing._reports import (
    AllGroups,
    ReportInterest,
    ReportSubscriber,
    UsedGroups,
)

__all__ = (
    'OWNER_LOST_REASONS',
    'AllGroups',
    'AttemptPort',
    'Budget',
    'Candidate',
    'IndexChoice',
    'IndexMap',
    'LatencyTracker',
    'LocalTargets',
    'MailboxAttemptPort',
    'ReplicaChooser',
    'ReplySink',
    'ReportInterest',
    'ReportSubscriber',
    'Route',
    'TargetObservation',
    'TargetObservations',
    'UsedGroups',
    'is_target_lost',
    'leave_out',
    'prefer',
)
