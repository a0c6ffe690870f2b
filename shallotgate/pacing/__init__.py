"""Pace of targets that have just started or recovered."""

from shallotgate.pacing._board import NO_PACE, PaceBoard
from shallotgate.pacing._limiter import PaceLimiter
from shallotgate.pacing._ramp import ReplySums, TargetRamp

__all__ = (
    'NO_PACE',
    'PaceBoard',
    'PaceLimiter',
    'ReplySums',
    'TargetRamp',
)
