"""Request path of an entry: routing, fan-out, retries and hedging."""

from shallotgate.gateway._account_quotas import QuotaClient
from shallotgate.gateway._blocklist import ContentBlocklist
from shallotgate.gateway._directory import Directory, Target
from shallotgate.gateway._exposure_client import ExposureClient
from shallotgate.gateway._fan_out import merge_records
from shallotgate.gateway._follower import TierFollower
from shallotgate.gateway._gateway import Gateway
from shallotgate.gateway._options import GatewayOptions
from shallotgate.gateway._pacer import TargetPacer
from shallotgate.gateway._permits import PermitClient, PermitSource
from shallotgate.gateway._quota_reporter import QuotaReporter
from shallotgate.gateway._report import RequestReporter
from shallotgate.gateway._retry_grants import RetryGrantClient, RetryGrantSource
from shallotgate.gateway._target_chooser import TargetChooser
from shallotgate.gateway._wire import (
    CallerRequest,
    ReplyMetadata,
    TargetLoad,
    WireCodec,
)

__all__ = (
    'CallerRequest',
    'ContentBlocklist',
    'Directory',
    'ExposureClient',
    'Gateway',
    'GatewayOptions',
    'PermitClient',
    'PermitSource',
    'QuotaClient',
    'QuotaReporter',
    'ReplyMetadata',
    'RequestReporter',
    'RetryGrantClient',
    'RetryGrantSource',
    'Target',
    'TargetChooser',
    'TargetLoad',
    'TargetPacer',
    'TierFollower',
    'WireCodec',
    'merge_records',
)
