"""Admission control within the table's limits and the back end's capacity."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from ibisfront.core.group_queue import GroupQueue

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.group_queue import Slot
    from ibisfront.core.shares import Shares
    from ibisfront.core.table import Purpose, Row

__all__ = ["Admission"]


class Admission:
    """Admits requests to this instance.

    Parameters
    ----------
    clock : Clock
        The tier's clock.
    counters : Counters
        Counts rejections.
    shares : Shares
        This instance's shares of the table's limits.
    """

    __slots__ = ("_clock", "_counters", "_groups", "shares")

    def __init__(self, *, clock: Clock, counters: Counters, shares: Shares) -> None:
        self._clock = clock
        self._counters = counters
        self.shares = shares
        self._groups: dict[str, GroupQueue] = {}

    @asynccontextmanager
    async def admit(
        self,
        row: Row,
        purpose: Purpose,
        *,
        deadline_at_ms: float,
    ) -> AsyncIterator[Slot]:
        """Hold a slot for one request while the context is open.

        Parameters
        ----------
        row : Row
            The row that the request counts against.
        purpose : Purpose
            The purpose of the request.
        deadline_at_ms : float
            When the caller stops waiting.

        Raises
        ------
        IbisfrontError
            ``over_limit``, ``overloaded`` or ``deadline_too_short``, as soon as it
            is known that the request cannot start in time.
        """
        async with (
            self.shares.acquire(row, deadline_at_ms=deadline_at_ms),
            self.group(purpose).acquire(
                row, purpose, deadline_at_ms=deadline_at_ms
            ) as slot,
        ):
            yield slot

    def group(self, purpose: Purpose) -> GroupQueue:
        """Return the queue of the index or service that a purpose uses."""
        name = f"{purpose.kind}/{purpose.index or purpose.service or ''}"
        group = self._groups.get(name)
        if group is None:
            group = GroupQueue(clock=self._clock, counters=self._counters)
            self._groups[name] = group
        return group
