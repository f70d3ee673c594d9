"""Letting requests in, within the table's limits and the back end's."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from ibisfront.core.counters import CounterKind
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.group_queue import GroupQueue

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.group_queue import Place
    from ibisfront.core.table import Purpose, Row

__all__ = ["Admission"]


class Admission:
    """Admits requests to this instance.

    Parameters
    ----------
    clock : Clock
        The tier's clock.
    counters : Counters
        Where refusals are counted.
    """

    __slots__ = ("_clock", "_counters", "_groups", "_in_flight")

    def __init__(self, *, clock: Clock, counters: Counters) -> None:
        self._clock = clock
        self._counters = counters
        self._in_flight: dict[tuple[str, str], int] = {}
        self._groups: dict[str, GroupQueue] = {}

    @property
    def running(self) -> int:
        """How many requests run or wait here."""
        return sum(self._in_flight.values())

    @asynccontextmanager
    async def admitted(
        self,
        row: Row,
        purpose: Purpose,
        *,
        deadline_at_ms: float,
    ) -> AsyncIterator[Place]:
        """Hold a place for one request while the context is open.

        Parameters
        ----------
        row : Row
            The row that the request counts against.
        purpose : Purpose
            Its purpose.
        deadline_at_ms : float
            When the caller stops waiting.

        Raises
        ------
        IbisfrontError
            ``over_limit``, ``overloaded`` or ``deadline_too_short``, at once.
        """
        key = (row.branch, row.purpose)
        running = self._in_flight.get(key, 0)
        if running >= row.max_in_flight:
            self._counters.add(CounterKind.REFUSALS, ErrorKind.OVER_LIMIT.value)
            raise IbisfrontError(
                ErrorKind.OVER_LIMIT,
                f"{row.branch}/{row.purpose} has {running} of"
                f" {row.max_in_flight} requests running",
            )
        self._in_flight[key] = running + 1
        try:
            group = self.group(purpose)
            async with group.place(
                row, purpose, deadline_at_ms=deadline_at_ms
            ) as place:
                yield place
        finally:
            self._in_flight[key] -= 1
            if not self._in_flight[key]:
                del self._in_flight[key]

    def group(self, purpose: Purpose) -> GroupQueue:
        """Return the queue of the services that a purpose uses."""
        name = f"{purpose.kind}/{purpose.index or purpose.service or ''}"
        group = self._groups.get(name)
        if group is None:
            group = GroupQueue(clock=self._clock, counters=self._counters)
            self._groups[name] = group
        return group
