"""Authentication of callers by the keys of client accounts."""

from shallotgate.accounts._authentication import Authentication, KeyIndex
from shallotgate.accounts._key_changes import KeyChanges, compare_keys

__all__ = ('Authentication', 'KeyChanges', 'KeyIndex', 'compare_keys')
