"""Control members, separate so that entries load less into memory."""

from shallotgate.node._control import ControlNode

__all__ = ('ControlNode',)
