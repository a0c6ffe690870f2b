"""Choice of replicas, budgets for extra load, and the way to owners."""

from shallotgate.routing._port import AttemptPort, ReplySink

__all__ = ('AttemptPort', 'ReplySink')
