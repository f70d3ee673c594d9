"""The daemon: reads the settings and runs one entry instance."""

from __future__ import annotations

import argparse
import logging
import re
import signal
import sys
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, cast

import hypercorn.config
import hypercorn.trio
import trio
from pythonjsonlogger.json import JsonFormatter

from ibisfront.adapters.asgi import asgi_application
from ibisfront.adapters.callers import caller_routes
from ibisfront.adapters.closing import closing_application
from ibisfront.adapters.entrypoint import AdapterEntrypoint
from ibisfront.adapters.http import (
    Exchange,
    HttpRequest,
    HttpResponse,
    Route,
    json_response,
)
from ibisfront.core.clock import Clock
from ibisfront.core.errors import IbisfrontError
from ibisfront.core.settings import read_settings
from ibisfront.core.stopping import stop_in_order
from ibisfront.instance import EntryInstance

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from hypercorn.typing import ASGIFramework

    from ibisfront.core.settings import Settings

__all__ = ["main", "run_daemon"]

_LOG = logging.getLogger("ibisfront")
_EXIT_BAD_SETTINGS = 2
_CLOSE_TIMEOUT_S = 1.0


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
    _start_logs()
    trio.run(run_daemon, settings)


async def run_daemon(settings: Settings) -> None:
    """Run an entry instance and its listeners until SIGTERM."""
    clock = Clock()
    adapters = AdapterEntrypoint(settings, clock=clock)
    instance = EntryInstance(settings, adapters=adapters, clock=clock)
    closing = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_stop_on_signal, instance, clock, closing)
        await nursery.start(instance.run)
        application = asgi_application(
            (
                *caller_routes(instance, settings=settings.callers),
                *_health_routes(instance),
            ),
            clock=clock,
            maximum_body_bytes=settings.callers.maximum_body_bytes,
            observe=_observe,
        )
        config = hypercorn.config.Config()
        config.bind = [settings.callers.address]
        # The stop waits for every request before it sets the trigger; what the
        # server itself still finds running then has had its time.
        config.graceful_timeout = _CLOSE_TIMEOUT_S
        serve = partial(
            hypercorn.trio.serve,
            cast("ASGIFramework", closing_application(application, instance.stopping)),
            config,
            shutdown_trigger=closing.wait,
        )
        _LOG.info("instance: %s starts.", settings.instance.name)
        await serve()
        nursery.cancel_scope.cancel()
    _LOG.info("instance: %s has stopped.", settings.instance.name)


def _health_routes(instance: EntryInstance) -> tuple[Route, ...]:
    async def alive(request: HttpRequest) -> HttpResponse:
        return json_response({"alive": True})

    async def ready(request: HttpRequest) -> HttpResponse:
        return json_response(
            {"ready": instance.ready}, status=200 if instance.ready else 503
        )

    return (
        Route("GET", re.compile("/healthz"), alive),
        Route("GET", re.compile("/readyz"), ready),
    )


async def _stop_on_signal(
    instance: EntryInstance, clock: Clock, closing: trio.Event
) -> None:
    again = trio.Event()
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await anext(signals)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_note_next_signal, signals, again)
            await stop_in_order(
                instance.stopping,
                clock=clock,
                settings=instance.settings.stop,
                again=again,
            )
            nursery.cancel_scope.cancel()
        closing.set()
        await trio.sleep_forever()  # later signals must not end the process early


async def _note_next_signal(signals: AsyncIterator[int], again: trio.Event) -> None:
    await anext(signals)
    again.set()


def _observe(exchange: Exchange) -> None:
    error = exchange.error
    if error is not None and not isinstance(error, IbisfrontError):
        _LOG.error("instance: A request met a fault.", exc_info=error)


def _start_logs() -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter("%(asctime)s %(levelname)s %(message)s"))
    _LOG.addHandler(handler)
    _LOG.setLevel(logging.INFO)


if __name__ == "__main__":
    main()
