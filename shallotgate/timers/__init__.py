"""Timer service with one-shot and periodic callbacks, and the lease clock."""

from shallotgate.timers._clock import get_process_start_time, read_lease_clock
from shallotgate.timers._service import Callback, Subscription, TimerService

__all__ = (
    'Callback',
    'Subscription',
    'TimerService',
    'get_process_start_time',
    'read_lease_clock',
)
