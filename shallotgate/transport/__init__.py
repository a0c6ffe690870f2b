"""Typed messages between processes over pynng Push and Pull sockets."""

from shallotgate.transport._envelope import AgeEstimator, Delivery
from shallotgate.transport._mailbox import Handler, Mailbox

__all__ = ('AgeEstimator', 'Delivery', 'Handler', 'Mailbox')
