"""What the control group keeps and tells: tables, domains out, targets."""

from shallotgate.registry._client import RegistryClient
from shallotgate.registry._desk import OperatorDesk, Verdict
from shallotgate.registry._followers import FollowerDesk
from shallotgate.registry._listing import ListingReader, TargetListing
from shallotgate.registry._state import RegistryState

__all__ = (
    'FollowerDesk',
    'ListingReader',
    'OperatorDesk',
    'RegistryClient',
    'RegistryState',
    'TargetListing',
    'Verdict',
)
