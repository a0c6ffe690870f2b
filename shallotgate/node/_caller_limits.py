"""Limits over all callers of a process, derived from its machine."""

import resource

from shallotgate.aio import TotalLimits
from shallotgate.generated.node import NodeSettings

_BYTES_PER_MIB = 1024 * 1024
# Part of the descriptors that callers may use; the others are for targets and
# other instances. 1,535 descriptors leave 511 connections.
_DESCRIPTOR_SHARE = 3
_MAX_CONNECTIONS = 1024
# Part of the memory that callers may use. An entry needs a good third of 152 MB
# for itself and 32 MiB for replies.
_ENTRY_MEMORY_SHARE = 10
_CONTROL_MEMORY_SHARE = 8
# The least values hold some bodies of legal size, the defaults are those of
# the smallest machines.
_ENTRY_MIN_BYTES = 8 * _BYTES_PER_MIB
_ENTRY_BYTES = 16 * _BYTES_PER_MIB
_CONTROL_BYTES = 32 * _BYTES_PER_MIB
# Servers for the platform's own checks, which need few connections.
AUXILIARY_TOTALS = TotalLimits(
    max_connections=64, max_incomplete=32, max_bytes=2 * _BYTES_PER_MIB
)


def make_entry_totals(settings: NodeSettings) -> TotalLimits:
    """Return the limits over all callers of an entry."""
    derived = _ENTRY_BYTES
    if settings.machine_memory_bytes:
        share = settings.machine_memory_bytes // _ENTRY_MEMORY_SHARE
        derived = max(share, _ENTRY_MIN_BYTES)
    return _make_totals(settings, derived)


def make_control_totals(settings: NodeSettings) -> TotalLimits:
    """Return the limits over all operators of a control member."""
    share = settings.machine_memory_bytes // _CONTROL_MEMORY_SHARE
    return _make_totals(settings, max(share, _CONTROL_BYTES))


def _make_totals(settings: NodeSettings, max_bytes: int) -> TotalLimits:
    descriptors = settings.machine_descriptors
    if not descriptors:
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if descriptors == resource.RLIM_INFINITY:
            descriptors = _MAX_CONNECTIONS * _DESCRIPTOR_SHARE
    connections = settings.max_caller_connections or max(
        min(descriptors // _DESCRIPTOR_SHARE, _MAX_CONNECTIONS), 1
    )
    return TotalLimits(
        max_connections=connections,
        max_incomplete=settings.max_caller_incomplete
        or max(connections // 2, 1),
        max_bytes=settings.max_caller_bytes or max_bytes,
        receive_buffer_bytes=settings.caller_receive_buffer_bytes,
        progress_timeout_ms=settings.caller_progress_timeout_ms,
    )
