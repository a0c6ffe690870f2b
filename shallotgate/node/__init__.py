"""Processes that serve the routes of a platform.

Control members are in ``shallotgate.node.control``.
"""

from shallotgate.node._entry import EntryNode
from shallotgate.node._main import run_node
from shallotgate.node._settings import list_seeds, load_node_settings

__all__ = (
    'EntryNode',
    'list_seeds',
    'load_node_settings',
    'run_node',
)
