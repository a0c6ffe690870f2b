"""Timer service that parts subscribe to."""

from shallotgate.timers._clock import read_lease_clock, read_process_seen_at
from shallotgate.timers._service import Callback, Subscription, TimerService

__all__ = (
    'Callback',
    'Subscription',
    'TimerService',
    'read_lease_clock',
    'read_process_seen_at',
)
