"""The ``ibisfrontd`` process: reads the settings and runs one instance."""

from __future__ import annotations

import argparse
import resource
import signal
import sys
from contextlib import AsyncExitStack
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from ibisfront.adapters.factory import AdapterFactory
from ibisfront.adapters.listener import open_listening_socket, serve_until
from ibisfront.adapters.log_output import configure_logging
from ibisfront.adapters.metered_connection import HTTP_CONNECTION_BYTES
from ibisfront.applications import (
    MAXIMUM_ADMIN_BODY_BYTES,
    admin_application,
    caller_application,
)
from ibisfront.core.clock import Clock
from ibisfront.core.errors import IbisfrontError
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.core.settings import read_settings
from ibisfront.core.stopping import stop_in_order
from ibisfront.gateway.state.configuration import CallerLimits
from ibisfront.http1.caller_memory import DEFAULT_DESCRIPTORS, CallerMemory
from ibisfront.instance import EntryInstance

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ibisfront.core.settings import Settings

__all__ = ["main", "run_daemon"]

_LOG = part_logger(LogPart.INSTANCE)
_EXIT_BAD_SETTINGS = 2
_EXIT_CANNOT_RUN = 3


def main() -> None:
    """Run ``ibisfrontd``."""
    parser = argparse.ArgumentParser(
        prog="ibisfrontd", description="Run one ibisfront entry instance."
    )
    parser.add_argument(
        "--settings", type=Path, required=True, help="the TOML settings file"
    )
    arguments = parser.parse_args()
    try:
        settings = read_settings(arguments.settings)
    except IbisfrontError as error:
        sys.stderr.write(f"ibisfrontd: {error.detail}\n")
        raise SystemExit(_EXIT_BAD_SETTINGS) from error
    configure_logging(settings)
    try:
        trio.run(run_daemon, settings)
    except* IbisfrontError as group:
        _LOG.error("%s cannot run: %s", settings.instance.name, _first_error(group))
        sys.exit(_EXIT_CANNOT_RUN)


def _first_error(group: BaseExceptionGroup[IbisfrontError]) -> IbisfrontError:
    first = group.exceptions[0]
    return _first_error(first) if isinstance(first, BaseExceptionGroup) else first


async def run_daemon(settings: Settings) -> None:
    """Run an entry instance and its listeners until SIGTERM."""
    clock = Clock()
    adapters = AdapterFactory(settings, clock=clock)
    instance = EntryInstance(settings, adapters=adapters, clock=clock)
    closing = trio.Event()
    async with AsyncExitStack() as stack:
        caller_socket = stack.enter_context(
            open_listening_socket(settings.callers.address)
        )
        admin_socket = stack.enter_context(
            open_listening_socket(settings.admin.address)
        )
        platform = adapters.open_platform()
        stack.push_async_callback(platform.aclose)
        nursery = await stack.enter_async_context(trio.open_nursery())
        nursery.start_soon(_stop_on_signal, instance, clock, closing)
        await nursery.start(instance.run)
        _LOG.info("%s starts.", settings.instance.name)
        caller_app = caller_application(instance, settings=settings, clock=clock)
        admin_app = admin_application(
            instance, platform=platform, settings=settings, clock=clock
        )
        memory = CallerMemory(
            memory_bytes=settings.memory.process_bytes,
            maximum_descriptors=_maximum_descriptors(),
            clock=clock,
            counters=instance.counters,
            connection_bytes=HTTP_CONNECTION_BYTES,
        )
        async with trio.open_nursery() as listeners:
            for application, sock, maximum_body_bytes in (
                (caller_app, caller_socket, settings.callers.maximum_body_bytes),
                (admin_app, admin_socket, MAXIMUM_ADMIN_BODY_BYTES),
            ):
                serve = partial(
                    serve_until,
                    memory=memory,
                    limits=CallerLimits(maximum_body_bytes=maximum_body_bytes),
                    clock=clock,
                )
                listeners.start_soon(serve, closing, application, sock)
        # Shares are released only after the listeners are closed: a load balancer
        # that is slower than its configured lag may still send requests, and
        # without shares each of them would be rejected.
        await instance.shares.release_all()
        nursery.cancel_scope.cancel()
    _LOG.info("%s has stopped.", settings.instance.name)


def _maximum_descriptors() -> int:
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return DEFAULT_DESCRIPTORS if limit == resource.RLIM_INFINITY else limit


async def _stop_on_signal(
    instance: EntryInstance, clock: Clock, closing: trio.Event
) -> None:
    second_signal = trio.Event()
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await anext(signals)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_record_second_signal, signals, second_signal)
            await stop_in_order(
                instance.stopping,
                clock=clock,
                settings=instance.settings.stop,
                second_signal=second_signal,
            )
            nursery.cancel_scope.cancel()
        closing.set()
        await trio.sleep_forever()  # later signals must not end the process early


async def _record_second_signal(
    signals: AsyncIterator[int], second_signal: trio.Event
) -> None:
    await anext(signals)
    second_signal.set()


if __name__ == "__main__":
    main()
