"""The front daemon's entry point: listeners, watches and signals."""

from __future__ import annotations

import logging
import signal
from contextlib import AsyncExitStack, ExitStack
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from ibisfront.core.bounded_log import BoundedLogHandler
from ibisfront.core.clock import Clock
from ibisfront.core.errors import IbisfrontError
from ibisfront.core.logs import LOGGER_NAME, LogPart, part_logger
from ibisfront.front.garbage_collection import collect_garbage
from ibisfront.front.process import FrontProcess
from ibisfront.front.stopping import stop_gracefully
from ibisfront.gateway.instances.directory import (
    INSTANCES_KIND,
    StoredDirectory,
    sync_instances,
)
from ibisfront.http1.caller_listener import CallerListener
from ibisfront.http1.listening import listening_socket
from ibisfront.platform.headers import WIRE
from ibisfront.platform.settings import read_platform_settings
from ibisfront.platform.store import PlatformObjects

if TYPE_CHECKING:
    import socket
    from collections.abc import AsyncIterator, Callable

    from ibisfront.core.types import Address
    from ibisfront.front.early_start import EarlyStart
    from ibisfront.gateway.settings import GatewaySettings
    from ibisfront.gateway.state.configuration import CallerLimits
    from ibisfront.http1.caller_listener import AnswerRequest

__all__ = ["main", "run_front"]

_LOG = part_logger(LogPart.INSTANCE)
_STDOUT = 1
_SETTINGS_POLL_MS = 2_000.0
"""Interval at which the settings file is polled; it may change without a signal."""


def main(start: EarlyStart) -> None:
    """Run the daemon."""
    clock = Clock()
    handler = BoundedLogHandler(_STDOUT, instance=start.settings.instance, clock=clock)
    with ExitStack() as stack:
        stack.callback(handler.flush)
        _install_log_handler(handler)
        trio.run(run_front, start, handler, clock)


def _install_log_handler(handler: BoundedLogHandler) -> None:
    log = logging.getLogger(LOGGER_NAME)
    log.addHandler(handler)
    log.setLevel(logging.INFO)
    log.propagate = False
    logging.raiseExceptions = False


async def run_front(
    start: EarlyStart, handler: BoundedLogHandler, clock: Clock
) -> None:
    """Serve until SIGTERM, then stop gracefully."""
    settings, path = start.settings, start.path
    async with AsyncExitStack() as stack:
        signals = stack.enter_context(
            trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP)
        )
        nursery = await stack.enter_async_context(trio.open_nursery())
        process = FrontProcess(settings, clock=clock, nursery=nursery)
        listen = partial(_listen, nursery, process, clock)
        limits = process.limits
        listen(settings.ready_address, process.answer_ready, limits)
        callers = listen(
            settings.callers_address,
            process.gateway.answer,
            limits,
            sock=start.callers_socket,
        )
        if settings.metrics_address is not None:
            listen(settings.metrics_address, process.answer_metrics, limits)
        if settings.peers_address is not None:
            listen(settings.peers_address, process.answer_peer, process.peer_limits)
            _join_instances(settings, process, stack, clock)
        else:
            process.state_sync.record_first_poll()
        stack.callback(process.suspect_records.close)
        _start_tasks(process, handler, clock)
        process.tasks.keep_running(
            _watch_settings, process, path, start.modified_ns, clock
        )
        fields = {"zone": settings.zone, "early": start.callers_socket is not None}
        _LOG.info("%s starts.", settings.instance, extra=fields)
        await _handle_signals(signals, process, path)
        # A signal without a handler would end the process in the middle of the stop.
        nursery.start_soon(_ignore_signals, signals)
        await stop_gracefully(process, callers, clock=clock)
        nursery.cancel_scope.cancel()


def _start_tasks(
    process: FrontProcess, handler: BoundedLogHandler, clock: Clock
) -> None:
    """Start the tasks that run as long as the process."""
    tasks = process.tasks
    tasks.keep_running(process.state_sync.run)
    tasks.keep_running(process.suspect_records.run)
    if not process.settings.is_first_start:
        tasks.keep_running(process.crash_reports.load_records)
    tasks.keep_running(process.run_maintenance)
    tasks.keep_running(process.zone_path_monitor.run)
    tasks.keep_running(handler.run)
    tasks.keep_running(collect_garbage, clock)


def _listen(
    nursery: trio.Nursery,
    process: FrontProcess,
    clock: Clock,
    address: Address,
    answer: AnswerRequest,
    limits: Callable[[], CallerLimits],
    *,
    sock: socket.socket | None = None,
) -> CallerListener:
    listener = CallerListener(
        sock or listening_socket(address),
        answer=answer,
        wire=WIRE,
        limits=limits,
        clock=clock,
        counters=process.observer.counters,
        memory=process.caller_memory,
    )
    nursery.start_soon(listener.run)
    return listener


def _join_instances(
    settings: GatewaySettings,
    process: FrontProcess,
    stack: AsyncExitStack,
    clock: Clock,
) -> None:
    """Register this instance and track the others."""
    objects = PlatformObjects(settings.store_address, INSTANCES_KIND)
    directory = StoredDirectory(objects)
    stack.callback(directory.close)
    process.tasks.keep_running(
        partial(
            sync_instances,
            directory,
            process.own,
            on_list=process.apply_instances,
            on_first_poll=process.state_sync.record_first_poll,
            is_needed=lambda: process.state_sync.watches_store,
            is_listed=lambda: process.is_listed,
            is_first_start=settings.is_first_start,
            clock=clock,
        )
    )


async def _handle_signals(
    signals: AsyncIterator[int], process: FrontProcess, path: Path
) -> None:
    """Reload the settings when told to; return when told to stop."""
    async for number in signals:
        if number == signal.SIGTERM:
            return
        _reload(process, path)


async def _ignore_signals(signals: AsyncIterator[int]) -> None:
    async for number in signals:
        _LOG.info("Signal %d is ignored: a stop has begun.", number)


async def _watch_settings(
    process: FrontProcess, path: Path, last_modified_ns: int, clock: Clock
) -> None:
    """Reload the settings when their file changes without a signal."""
    while True:
        await clock.sleep_ms(_SETTINGS_POLL_MS)
        modified_ns = _modified_ns(path)
        if modified_ns is not None and modified_ns != last_modified_ns:
            last_modified_ns = modified_ns
            _reload(process, path)


def _modified_ns(path: Path) -> int | None:
    try:
        return path.stat().st_mtime_ns
    except OSError as error:
        _LOG.warning("The settings file cannot be read: %s.", error)
        return None


def _reload(process: FrontProcess, path: Path) -> None:
    """Apply changed settings; invalid ones are logged and ignored."""
    try:
        settings = read_platform_settings(path)
    except IbisfrontError as error:
        _LOG.error("The settings are invalid and stay unchanged: %s.", error.detail)
        return
    changed = settings != process.settings
    process.apply_settings(settings)
    _LOG.info("The settings were reloaded; changed: %s.", changed)
