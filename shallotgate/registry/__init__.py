"""Control-group state: routing tables, failure domains and targets."""

from shallotgate.registry._account_quotas import QuotaService
from shallotgate.registry._client import RegistryClient
from shallotgate.registry._conditions import ConditionTracker
from shallotgate.registry._content_bars import CrashService
from shallotgate.registry._content_store import (
    ContentStore,
    ReplicatedContents,
)
from shallotgate.registry._crashes import CrashTracker
from shallotgate.registry._entry_counter import EntryCounter
from shallotgate.registry._followers import FollowerService
from shallotgate.registry._listing import ListingPoller, TargetListing
from shallotgate.registry._operators import (
    OperatorService,
    OrderResult,
    RolloutOrder,
)
from shallotgate.registry._permits import PermitService
from shallotgate.registry._retry_grants import RetryGrantService
from shallotgate.registry._rollouts import RolloutService
from shallotgate.registry._state import RegistryState

__all__ = (
    'ConditionTracker',
    'ContentStore',
    'CrashService',
    'CrashTracker',
    'EntryCounter',
    'FollowerService',
    'ListingPoller',
    'OperatorService',
    'OrderResult',
    'PermitService',
    'QuotaService',
    'RegistryClient',
    'RegistryState',
    'ReplicatedContents',
    'RetryGrantService',
    'RolloutOrder',
    'RolloutService',
    'TargetListing',
)
