"""Command line of the daemon."""

import logging
import os
import signal
import sys
import threading
from pathlib import Path

import defopt

from shallotgate.daemon._process import Process
from shallotgate.errors import SettingsError, ShallotgateError
from shallotgate.logs import configure_logs, get_logger
from shallotgate.settings import load_settings

_LOGGER = get_logger('daemon')
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2


def run(*, settings: Path, check: bool = False) -> int:
    """Run one instance of the query tier until SIGTERM or SIGINT.

    :param settings: YAML file with the settings of this instance.
    :param check: Check the settings, report all faults and end.
    """
    try:
        loaded = load_settings(settings)
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_BAD_INPUT
    if check:
        sys.stdout.write(f'{settings}: no faults found\n')
        return EXIT_OK
    configure_logs(loaded.log_level, loaded.instance)
    stopping = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopping.set())
    signal.signal(signal.SIGINT, lambda *_: stopping.set())
    try:
        process = Process(loaded)
        process.start()
    except (ShallotgateError, OSError):
        _LOGGER.exception('Start failed.')
        return EXIT_FAILED
    stopping.wait()
    process.stop()
    return EXIT_OK


def main() -> None:
    """Run the command line and exit with its status."""
    status = defopt.run(run)
    logging.shutdown()
    sys.stdout.flush()
    # Skips interpreter teardown: threads that are still inside the messaging
    # library caused a segmentation fault in one of some hundred stops.
    os._exit(status)
