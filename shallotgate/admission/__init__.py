"""Admission control: which requests an entry refuses before they run."""

from shallotgate.admission._book import OutlookBook
from shallotgate.admission._control import (
    AdmissionControl,
    AdmissionRequest,
    Decision,
)
from shallotgate.admission._kinds import RequestKind
from shallotgate.admission._load import LoadReport
from shallotgate.admission._odds import Rank, compute_refused_part
from shallotgate.admission._outlook import ShardOutlook
from shallotgate.admission._services import ShardState, TargetState
from shallotgate.admission._usage import AccountUsage

__all__ = (
    'AccountUsage',
    'AdmissionControl',
    'AdmissionRequest',
    'Decision',
    'LoadReport',
    'OutlookBook',
    'Rank',
    'RequestKind',
    'ShardOutlook',
    'ShardState',
    'TargetState',
    'compute_refused_part',
)
