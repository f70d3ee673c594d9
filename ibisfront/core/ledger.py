"""Claims of non-idempotent requests, so that each runs at most once."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeAlias

from ibisfront.core.errors import ErrorKind, IbisfrontError

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.query import CallerRequest, PerformAnswer, SubReply
    from ibisfront.core.table import Purpose

__all__ = ["Ledger", "RunOnce"]

RunOnce: TypeAlias = Callable[["CallerRequest", "Purpose"], Awaitable["SubReply"]]
"""Sends a claimed request to one backend server, once.

Raises ``SubRequestError``; its ``not_run`` says whether that is certain.
"""


class Ledger:
    """Runs non-idempotent requests at most once.

    Parameters
    ----------
    run_once : callable
        Sends one claimed request.
    clock : Clock
        The tier's clock.
    counters : Counters
        Where claims are counted.
    """

    __slots__ = ("_clock", "_counters", "_run_once")

    def __init__(self, *, run_once: RunOnce, clock: Clock, counters: Counters) -> None:
        self._run_once = run_once
        self._clock = clock
        self._counters = counters

    async def perform(
        self, request: CallerRequest, purpose: Purpose, key: str
    ) -> PerformAnswer:
        """Claim a request and run it, or return its kept outcome.

        Raises
        ------
        IbisfrontError
            With what is known about its having run.
        """
        raise IbisfrontError(
            ErrorKind.CLAIM_UNAVAILABLE,
            f"{purpose.name}: key {key!r} of {request.request_id} cannot be claimed",
        )

    async def outcome(self, key: str) -> PerformAnswer:
        """Return the outcome of an earlier request.

        Raises
        ------
        IbisfrontError
            ``not_found`` if the key was never claimed, or what is known.
        """
        raise IbisfrontError(ErrorKind.NOT_FOUND, f"key {key!r} is unknown")
