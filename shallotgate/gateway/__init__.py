"""Data path of an entry: requests by route, fan-outs, second attempts."""

from shallotgate.gateway._crashes import BarredContents
from shallotgate.gateway._directory import Directory, Target
from shallotgate.gateway._fan_out import merge_records
from shallotgate.gateway._follower import TierFollower
from shallotgate.gateway._gateway import Gateway
from shallotgate.gateway._report import RequestReporter
from shallotgate.gateway._retry_grants import ExtraBorrower, ExtraLender
from shallotgate.gateway._target_chooser import TargetChooser
from shallotgate.gateway._wire import (
    CallerRequest,
    ReplyFacts,
    TargetLoad,
    Wire,
)

__all__ = (
    'BarredContents',
    'CallerRequest',
    'Directory',
    'ExtraBorrower',
    'ExtraLender',
    'Gateway',
    'ReplyFacts',
    'RequestReporter',
    'Target',
    'TargetChooser',
    'TargetLoad',
    'TierFollower',
    'Wire',
    'merge_records',
)
