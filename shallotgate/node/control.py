"""Control members; apart from entries, which need less in memory."""

from shallotgate.node._control import ControlNode

__all__ = ('ControlNode',)
