"""Runs a process until a stop signal."""

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
    """Composition root of a process."""

    async def start(self) -> None:
        """Start all components."""

    async def stop(self) -> None:
        """Stop gracefully, without aborting requests."""


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
    # Skips interpreter teardown, which is unsafe while threads are inside the
    # messaging library.
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
    # Excludes objects that live as long as the process from collections.
    gc.collect()
    gc.freeze()
    await stopping.wait()
    _LOGGER.info('Stopping.')
    await node.stop()
    _LOGGER.info('Stopped.')


def _check_reload(settings_path: Path) -> None:
    """Reload the settings; addresses change on restart only."""
    try:
        settings = load_node_settings(settings_path)
    except SettingsError as error:
        _LOGGER.warning('Settings not reloaded: %s', error)
        return
    _LOGGER.info('Settings reloaded.', extra={'seeds': list(settings.seeds)})
