"""Durable state of a control member, kept in a data folder."""

from shallotgate.storage._folder import DataFolder, Snapshot, StoredVote
from shallotgate.storage._records import RecordLog

__all__ = ('DataFolder', 'RecordLog', 'Snapshot', 'StoredVote')
