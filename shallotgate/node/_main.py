"""Runs a process until it is told to stop."""

import asyncio
import contextlib
import gc
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import uvloop

from shallotgate.errors import SettingsError, ShallotgateError
from shallotgate.generated.node import NodeSettings
from shallotgate.logs import NonBlockingStream, configure_logs, get_logger
from shallotgate.node._settings import load_node_settings

_LOGGER = get_logger('node')
_EXIT_FAILED = 1
_EXIT_BAD_INPUT = 2


class Node(Protocol):
    """A process with its parts."""

    async def start(self) -> None:
        """Start all parts."""

    async def stop(self) -> None:
        """Stop without cutting a request."""


def run_node(
    settings_path: Path,
    make_node: Callable[[NodeSettings], Node],
) -> None:
    """Run a node until SIGTERM or SIGINT, then end the process."""
    try:
        settings = load_node_settings(settings_path)
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        os._exit(_EXIT_BAD_INPUT)
    stream = NonBlockingStream(sys.stdout.fileno())
    configure_logs(settings.log_level, settings.name, stream)
    status = 0
    try:
        uvloop.run(_run(settings_path, settings, make_node))
    except (ShallotgateError, OSError):
        _LOGGER.exception('Start failed.')
        status = _EXIT_FAILED
    if stream.dropped:
        _LOGGER.warning(
            'Log lines were dropped.', extra={'lines': stream.dropped}
        )
    with contextlib.suppress(OSError):
        stream.flush()
    # Threads inside the messaging library must not meet an interpreter that
    # is being torn down.
    os._exit(status)


async def _run(
    settings_path: Path,
    settings: NodeSettings,
    make_node: Callable[[NodeSettings], Node],
) -> None:
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _check_reload, settings_path)
    node = make_node(settings)
    await node.start()
    _LOGGER.info('Started.', extra={'domain': settings.domain})
    # What lives as long as the process is not gone through again and again.
    gc.collect()
    gc.freeze()
    await stopping.wait()
    _LOGGER.info('Stopping.')
    await node.stop()
    _LOGGER.info('Stopped.')


def _check_reload(settings_path: Path) -> None:
    """Read the settings again; addresses only change with a restart."""
    try:
        settings = load_node_settings(settings_path)
    except SettingsError as error:
        _LOGGER.warning('Settings not reloaded: %s', error)
        return
    _LOGGER.info('Settings reloaded.', extra={'seeds': list(settings.seeds)})
