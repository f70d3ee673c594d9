"""Counters, latencies and log lines of a listener's exchanges."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ibisfront.core.counters import CounterKind
from ibisfront.core.errors import IbisfrontError, Ran
from ibisfront.core.logs import part_logger

if TYPE_CHECKING:
    from ibisfront.adapters.http import Exchange, Observe
    from ibisfront.core.counters import Counters
    from ibisfront.core.latencies import Latencies
    from ibisfront.core.logs import LogPart, PartLogger

__all__ = ["observe_exchanges"]

_OK = 200


def observe_exchanges(
    part: LogPart, *, counters: Counters, latencies: Latencies | None = None
) -> Observe:
    """Return a function that counts, times and logs each exchange.

    Parameters
    ----------
    part : LogPart
        The log part of the listener.
    counters : Counters
        Counts each exchange once, by its outcome.
    latencies : Latencies, optional
        Records the durations of successful requests by branch and purpose.
    """
    log = part_logger(part)

    def observe(exchange: Exchange) -> None:
        counters.add(CounterKind.ANSWERS, exchange.outcome)
        if latencies is not None and _is_successful_row_request(exchange):
            branch, purpose = exchange.path_params
            latencies.record_ms(branch, purpose, exchange.duration_ms)
        _log_exchange(log, exchange)

    return observe


def _is_successful_row_request(exchange: Exchange) -> bool:
    return exchange.status == _OK and len(exchange.path_params) == 2


def _log_exchange(log: PartLogger, exchange: Exchange) -> None:
    level = _level(exchange.error)
    if not log.isEnabledFor(level):
        return
    log.log(
        level,
        "%s %s ended with %s.",
        exchange.method,
        exchange.path,
        exchange.outcome,
        extra={
            "request_id": exchange.request_id,
            "status": exchange.status,
            "duration_ms": round(exchange.duration_ms, 3),
            "detail": str(exchange.error or ""),
        },
        exc_info=exchange.error if level == logging.ERROR else None,
    )


def _level(error: BaseException | None) -> int:
    """Return the log level of an exchange.

    A rejection is logged at ``debug`` only: under overload thousands of
    requests are rejected each second, and a line for each would slow the
    instance further. The counters show their number.
    """
    if error is None or not isinstance(error, Exception):
        return logging.DEBUG
    if not isinstance(error, IbisfrontError):
        return logging.ERROR
    return logging.DEBUG if error.ran is Ran.NO else logging.WARNING
