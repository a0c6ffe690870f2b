"""Runs the command line as ``python -m shallotgate.cli``."""

import sys

from shallotgate.cli import main

sys.exit(main())
