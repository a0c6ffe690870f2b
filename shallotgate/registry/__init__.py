"""What the control group keeps and tells: tables, domains out, targets."""

from shallotgate.registry._client import RegistryClient
from shallotgate.registry._conditions import ConditionBoard
from shallotgate.registry._crashes import CrashBoard, CrashService
from shallotgate.registry._followers import FollowerService
from shallotgate.registry._lending import LendingService
from shallotgate.registry._listing import ListingReader, TargetListing
from shallotgate.registry._operators import OperatorService, Verdict
from shallotgate.registry._state import RegistryState

__all__ = (
    'ConditionBoard',
    'CrashBoard',
    'CrashService',
    'FollowerService',
    'LendingService',
    'ListingReader',
    'OperatorService',
    'RegistryClient',
    'RegistryState',
    'TargetListing',
    'Verdict',
)
