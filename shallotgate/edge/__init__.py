"""Callers' side: HTTP, keys and the wire format."""

from shallotgate.edge._application import CallerApplication, QueryPort
from shallotgate.edge._wire import JsonWireFormat, ParsedRequest, WireFormat

__all__ = (
    'CallerApplication',
    'JsonWireFormat',
    'ParsedRequest',
    'QueryPort',
    'WireFormat',
)
