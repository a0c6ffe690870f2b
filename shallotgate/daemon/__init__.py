"""The ``shallotgated`` daemon: composition root, signals, graceful stop."""

from shallotgate.daemon._main import main, run
from shallotgate.daemon._process import Process

__all__ = ('Process', 'main', 'run')
