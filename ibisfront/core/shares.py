"""The table's limits for the tier as a whole: reporting, granting, using."""

from __future__ import annotations

import math
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import trio

from ibisfront.core.counters import CounterKind
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.rendezvous import rendezvous_order
from ibisfront.core.row_limit import RowLimit
from ibisfront.core.share_holder import ShareHolder
from ibisfront.core.share_messages import (
    BUCKETS,
    NO_SHARE,
    BucketReport,
    RowDemand,
    RowKey,
    Share,
    ShareGrants,
    ShareReport,
    ShareTimes,
    bucket_of,
    kept_share,
    row_key,
    safe_share,
)
from ibisfront.core.share_owner import ShareOwner

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.members import Members
    from ibisfront.core.peers import Peers
    from ibisfront.core.table import Row, Table

__all__ = ["Shares"]

_PATIENCE_MS = 400.0
_NEW_DEMAND_MS = 1_000.0
_FIRST_GRANT_MS = 500.0
_EARLY_REPORT_MS = 20.0
_LEAST_RETRY_MS = 10
_LEAST_PAUSE_MS = 0.5
_SEQUENCE_BITS = 10


class Shares:
    """The shares of this instance of every row, and its part as an owner.

    Parameters
    ----------
    members : Members
        The instances.
    clock : Clock
        The tier's clock.
    counters : Counters
        Where refusals and lapses are counted.
    find_table : callable
        Returns the table in force, or None.
    times : ShareTimes, optional
        The times by which shares are lent.
    """

    __slots__ = (
        "_asking",
        "_clock",
        "_counters",
        "_early",
        "_find_table",
        "_members",
        "_owned",
        "_owned_among",
        "_peers",
        "_place",
        "_rows",
        "_started_at_ms",
        "_times",
        "_withdrawing",
        "holder",
        "owner",
    )

    def __init__(
        self,
        *,
        members: Members,
        clock: Clock,
        counters: Counters,
        find_table: Callable[[], Table | None],
        times: ShareTimes | None = None,
    ) -> None:
        self._members = members
        self._clock = clock
        self._counters = counters
        self._find_table = find_table
        self._times = ShareTimes() if times is None else times
        self._peers: Peers | None = None
        self._rows: dict[RowKey, RowLimit] = {}
        self._asking: set[str] = set()
        self._withdrawing: set[str] = set()
        self._owned: dict[str, list[int]] = {}
        self._owned_among: list[str] = []
        self._early = trio.Event()
        self._place = self._find_place()
        self._started_at_ms = clock.now_ms()
        self.holder = ShareHolder(times=self._times, started_at_ms=self._started_at_ms)
        self.owner = ShareOwner(
            clock=clock,
            times=self._times,
            find_row=self._find_row,
            has_table=lambda: find_table() is not None,
            first_sequence=members.own.incarnation << _SEQUENCE_BITS,
        )

    @property
    def joined(self) -> bool:
        """Whether this process is past the time in which it has no share."""
        return self._clock.now_ms() >= self._started_at_ms + self._times.join_ms

    @property
    def running(self) -> int:
        """How many requests hold a part of a share."""
        return sum(limit.running for limit in self._rows.values())

    @asynccontextmanager
    async def started(self, row: Row, *, deadline_at_ms: float) -> AsyncIterator[None]:
        """Count a request against its row while the context is open.

        Raises
        ------
        IbisfrontError
            ``over_limit``, at once, unless its turn comes within moments.
        """
        limit = self._limit(row_key(row))
        await self._start(row, limit, deadline_at_ms)
        try:
            yield
        finally:
            limit.finish()

    def usable(self, row: Row) -> Share:
        """Return what this instance may use of a row now."""
        return self.holder.usable(
            row, self._safe_share(row), now_ms=self._clock.now_ms()
        )

    async def run(self, peers: Peers | None = None) -> None:
        """Report demand and answer the reports of others, for ever.

        Parameters
        ----------
        peers : Peers, optional
            The other instances; without them each one is on its own.
        """
        self._peers = peers
        if peers is not None:
            peers.answer(ShareReport, self.owner.answer)
        async with trio.open_nursery() as nursery:
            while True:
                self._early = trio.Event()
                self._place = self._find_place()
                for owner, buckets in self._buckets_by_owner().items():
                    if owner not in self._asking:
                        nursery.start_soon(self._report, owner, buckets)
                self._withdraw(nursery)
                self._forget_unused()
                with self._clock.timeout_ms(self._times.report_ms):
                    await self._early.wait()
                    await self._clock.sleep_ms(_EARLY_REPORT_MS)

    async def hand_back(self) -> None:
        """Use nothing more, and tell the owners so."""
        self.holder.left = True
        async with trio.open_nursery() as nursery:
            for owner, buckets in self._buckets_by_owner().items():
                parts = tuple(BucketReport(bucket, 0, False, ()) for bucket in buckets)
                report = ShareReport(*self._place, parts, leaving=True)
                nursery.start_soon(self._ask, owner, report)

    async def _start(self, row: Row, limit: RowLimit, deadline_at_ms: float) -> None:
        limit.note_arrival(now_ms=self._clock.now_ms())
        if not limit.waiting and self._try_start(row, limit):
            return
        # A row that nobody used lately has no share here, or a small one, until
        # its demand is known. Refusing its first requests would be wrong while
        # the tier has room; they wait, and hurry the reports.
        first = self._clock.now_ms() < limit.wanted_since_ms + _NEW_DEMAND_MS
        if first:
            self._early.set()
        patience_ms = _FIRST_GRANT_MS if first else _PATIENCE_MS
        patience_ms = min(patience_ms, deadline_at_ms - self._clock.now_ms())
        wait_ms = limit.wait_ms(self.usable(row), ahead=limit.waiting)
        if wait_ms > patience_ms and not first:
            raise self._refusal(row, limit, wait_ms)
        limit.waiting += 1
        try:
            with self._clock.timeout_ms(patience_ms):
                async with limit.turn:
                    await self._wait_turn(row, limit)
                return
        finally:
            limit.waiting -= 1
        raise self._refusal(row, limit, limit.wait_ms(self.usable(row)))

    def _try_start(self, row: Row, limit: RowLimit) -> bool:
        return limit.try_start(self.usable(row), now_ms=self._clock.now_ms())

    async def _wait_turn(self, row: Row, limit: RowLimit) -> None:
        while not self._try_start(row, limit):
            wait_ms = min(limit.wait_ms(self.usable(row)), self._times.report_ms)
            # A wait that rounds to nothing would let no time pass, for ever.
            with self._clock.timeout_ms(max(_LEAST_PAUSE_MS, wait_ms)):
                await limit.changed.wait()

    def _refusal(self, row: Row, limit: RowLimit, wait_ms: float) -> IbisfrontError:
        self._counters.add(CounterKind.REFUSALS, ErrorKind.OVER_LIMIT.value)
        if not math.isfinite(wait_ms):
            wait_ms = self._times.report_ms
        return IbisfrontError(
            ErrorKind.OVER_LIMIT,
            f"{row.branch}/{row.purpose} is at its limit; {limit.running} run here",
            retry_after_ms=max(_LEAST_RETRY_MS, math.ceil(wait_ms)),
        )

    async def _report(self, owner: str, buckets: list[int]) -> None:
        self._asking.add(owner)
        try:
            sent_at_ms = self._clock.now_ms()
            report = ShareReport(*self._place, self._reports(owner, buckets))
            grants = await self._ask(owner, report)
        finally:
            self._asking.discard(owner)
        if not isinstance(grants, ShareGrants):
            self._counters.add(CounterKind.SHARES, "unanswered")
            return
        self.holder.apply(
            buckets,
            owner,
            grants,
            sent_at_ms=sent_at_ms,
            now_ms=self._clock.now_ms(),
        )
        for item in grants.rows:
            if item.row in self._rows:
                self._rows[item.row].note_change()

    def _withdraw(self, nursery: trio.Nursery) -> None:
        now_ms = self._clock.now_ms()
        for owner, parts in self.holder.withdrawals(now_ms=now_ms).items():
            if owner not in self._withdrawing:
                nursery.start_soon(self._withdraw_from, owner, tuple(parts))

    async def _withdraw_from(self, owner: str, parts: tuple[BucketReport, ...]) -> None:
        self._withdrawing.add(owner)
        try:
            grants = await self._ask(owner, ShareReport(*self._place, parts))
        finally:
            self._withdrawing.discard(owner)
        if isinstance(grants, ShareGrants):
            self.holder.release(grants.released, owner)

    async def _ask(self, owner: str, report: ShareReport) -> object:
        if owner == self._members.own_name:
            return self.owner.answer(owner, report)
        if self._peers is None:
            return None
        return await self._peers.ask(
            owner, report, timeout_ms=2 * self._times.report_ms
        )

    def _reports(self, owner: str, buckets: list[int]) -> tuple[BucketReport, ...]:
        now_ms = self._clock.now_ms()
        wanted: dict[int, list[RowDemand]] = {bucket: [] for bucket in buckets}
        for key, limit in self._rows.items():
            rows = wanted.get(bucket_of(key))
            if rows is not None and limit.is_wanted(now_ms=now_ms):
                wanted_now = limit.demand(key, now_ms=now_ms)
                rows.append(self._beyond_kept(wanted_now))
        return tuple(
            self.holder.report(
                bucket, owner, tuple(rows), safe=self._safe_of, now_ms=now_ms
            )
            for bucket, rows in wanted.items()
        )

    def _beyond_kept(self, wanted: RowDemand) -> RowDemand:
        row = self._find_row(wanted.row)
        if row is None:
            return wanted
        kept = kept_share(self._safe_share(row))
        demand = Share(
            max(0.0, wanted.demand.rate_per_s - kept.rate_per_s),
            max(0, wanted.demand.in_flight - kept.in_flight),
        )
        return RowDemand(wanted.row, demand, max(0, wanted.running - kept.in_flight))

    def _buckets_by_owner(self) -> dict[str, list[int]]:
        names = [member.name for member in self._members.live()]
        names = names or [self._members.own_name]  # the last one, leaving
        if names != self._owned_among:
            self._owned_among = names
            self._owned = {}
            for bucket in range(BUCKETS):
                owner = rendezvous_order(f"shares/{bucket}", names)[0]
                self._owned.setdefault(owner, []).append(bucket)
        return self._owned

    def _safe_share(self, row: Row) -> Share:
        expected, position = self._place
        return safe_share(row, expected=expected, position=position)

    def _safe_of(self, key: RowKey) -> Share:
        row = self._find_row(key)
        return NO_SHARE if row is None else self._safe_share(row)

    def _find_place(self) -> tuple[int, int]:
        names = [member.name for member in self._members.expected()]
        own_name = self._members.own_name
        return len(names), names.index(own_name) if own_name in names else 0

    def _limit(self, key: RowKey) -> RowLimit:
        limit = self._rows.get(key)
        if limit is None:
            limit = RowLimit(now_ms=self._clock.now_ms())
            self._rows[key] = limit
        return limit

    def _find_row(self, key: RowKey) -> Row | None:
        table = self._find_table()
        return None if table is None else table.row(key.branch, key.purpose)

    def _forget_unused(self) -> None:
        now_ms = self._clock.now_ms()
        unused = [
            key
            for key, limit in self._rows.items()
            if not limit.waiting and not limit.is_wanted(now_ms=now_ms)
        ]
        for key in unused:
            del self._rows[key]
