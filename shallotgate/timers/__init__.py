"""Timer service that parts subscribe to."""

from shallotgate.timers._service import Callback, Subscription, TimerService

__all__ = ('Callback', 'Subscription', 'TimerService')
