"""Tier-wide enforcement of the table's limits by reported and granted shares."""

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
    reserved_share,
    row_key,
    static_share,
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

_MAX_WAIT_MS = 400.0
_NEW_DEMAND_PERIOD_MS = 1_000.0
_FIRST_GRANT_WAIT_MS = 500.0
_EARLY_REPORT_DELAY_MS = 20.0
_MIN_RETRY_AFTER_MS = 10
_MIN_PAUSE_MS = 0.5
_SEQUENCE_BITS = 10


class Shares:
    """The shares of every row at this instance, and its role as a bucket owner.

    Parameters
    ----------
    members : Members
        The instances.
    clock : Clock
        The tier's clock.
    counters : Counters
        Counts rejections and unanswered reports.
    find_table : callable
        Returns the current table, or None.
    times : ShareTimes, optional
        Timing of reports and leases.
    """

    __slots__ = (
        "_assignment",
        "_assignment_members",
        "_clock",
        "_counters",
        "_early_report",
        "_expected_and_position",
        "_find_table",
        "_members",
        "_peers",
        "_pending_releases",
        "_pending_reports",
        "_rows",
        "_started_at_ms",
        "_times",
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
        self._pending_reports: set[str] = set()
        self._pending_releases: set[str] = set()
        self._assignment: dict[str, list[int]] = {}
        self._assignment_members: list[str] = []
        self._early_report = trio.Event()
        self._expected_and_position = self._find_expected_and_position()
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
        """Whether the join time, in which only grants are usable, has passed."""
        return self._clock.now_ms() >= self._started_at_ms + self._times.join_ms

    @property
    def running(self) -> int:
        """The number of requests that run within a share."""
        return sum(limit.running for limit in self._rows.values())

    @asynccontextmanager
    async def acquire(self, row: Row, *, deadline_at_ms: float) -> AsyncIterator[None]:
        """Count a request against its row while the context is open.

        Raises
        ------
        IbisfrontError
            ``over_limit``, immediately unless it may start after a short wait.
        """
        limit = self._limit(row_key(row))
        await self._start(row, limit, deadline_at_ms)
        try:
            yield
        finally:
            limit.finish()

    def usable(self, row: Row) -> Share:
        """Return the share of a row that this instance may use now."""
        return self.holder.usable(
            row, self._static_share(row), now_ms=self._clock.now_ms()
        )

    async def run(self, peers: Peers | None = None) -> None:
        """Report demand and answer the reports of other instances until cancelled.

        Parameters
        ----------
        peers : Peers, optional
            The other instances; without them this instance reports only to itself.
        """
        self._peers = peers
        if peers is not None:
            peers.respond(ShareReport, self.owner.handle_report)
        async with trio.open_nursery() as nursery:
            while True:
                self._early_report = trio.Event()
                self._expected_and_position = self._find_expected_and_position()
                for owner, buckets in self._buckets_by_owner().items():
                    if owner not in self._pending_reports:
                        nursery.start_soon(self._report, owner, buckets)
                self._request_releases(nursery)
                self._drop_unused()
                with self._clock.timeout_ms(self._times.report_ms):
                    await self._early_report.wait()
                    await self._clock.sleep_ms(_EARLY_REPORT_DELAY_MS)

    async def release_all(self) -> None:
        """Stop using shares and release them at their owners."""
        self.holder.has_left = True
        async with trio.open_nursery() as nursery:
            for owner, buckets in self._buckets_by_owner().items():
                parts = tuple(BucketReport(bucket, 0, False, ()) for bucket in buckets)
                report = ShareReport(*self._expected_and_position, parts, leaving=True)
                nursery.start_soon(self._send_report, owner, report)

    async def _start(self, row: Row, limit: RowLimit, deadline_at_ms: float) -> None:
        limit.record_arrival(
            now_ms=self._clock.now_ms(),
            has_lease=self.holder.has_lease(row_key(row), now_ms=self._clock.now_ms()),
        )
        if not limit.waiting and self._try_start(row, limit):
            return
        # A row that was idle, or whose lease expired because this process was not
        # scheduled, has no share here, or a small one, until its demand is
        # reported. The tier may have capacity for its first requests, so they wait
        # and trigger an early report instead of being rejected.
        is_new_demand = (
            self._clock.now_ms() < limit.active_since_ms + _NEW_DEMAND_PERIOD_MS
        )
        if is_new_demand:
            self._early_report.set()
        max_wait_ms = _FIRST_GRANT_WAIT_MS if is_new_demand else _MAX_WAIT_MS
        max_wait_ms = min(max_wait_ms, deadline_at_ms - self._clock.now_ms())
        wait_ms = limit.wait_ms(self.usable(row), ahead=limit.waiting)
        if wait_ms > max_wait_ms and not is_new_demand:
            raise self._rejection(row, limit, wait_ms)
        limit.waiting += 1
        try:
            with self._clock.timeout_ms(max_wait_ms):
                async with limit.head_lock:
                    await self._wait_to_start(row, limit)
                return
        finally:
            limit.waiting -= 1
        raise self._rejection(row, limit, limit.wait_ms(self.usable(row)))

    def _try_start(self, row: Row, limit: RowLimit) -> bool:
        return limit.try_start(self.usable(row), now_ms=self._clock.now_ms())

    async def _wait_to_start(self, row: Row, limit: RowLimit) -> None:
        while not self._try_start(row, limit):
            wait_ms = min(limit.wait_ms(self.usable(row)), self._times.report_ms)
            # A wait that rounds to zero would spin without time passing.
            with self._clock.timeout_ms(max(_MIN_PAUSE_MS, wait_ms)):
                await limit.changed.wait()

    def _rejection(self, row: Row, limit: RowLimit, wait_ms: float) -> IbisfrontError:
        self._counters.add(CounterKind.REFUSALS, ErrorKind.OVER_LIMIT.value)
        if not math.isfinite(wait_ms):
            wait_ms = self._times.report_ms
        return IbisfrontError(
            ErrorKind.OVER_LIMIT,
            f"{row.branch}/{row.purpose} is at its limit; {limit.running} running here",
            retry_after_ms=max(_MIN_RETRY_AFTER_MS, math.ceil(wait_ms)),
        )

    async def _report(self, owner: str, buckets: list[int]) -> None:
        self._pending_reports.add(owner)
        try:
            sent_at_ms = self._clock.now_ms()
            report = ShareReport(
                *self._expected_and_position, self._reports(owner, buckets)
            )
            grants = await self._send_report(owner, report)
        finally:
            self._pending_reports.discard(owner)
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
                self._rows[item.row].notify_waiters()

    def _request_releases(self, nursery: trio.Nursery) -> None:
        now_ms = self._clock.now_ms()
        for owner, parts in self.holder.release_requests(now_ms=now_ms).items():
            if owner not in self._pending_releases:
                nursery.start_soon(self._request_release, owner, tuple(parts))

    async def _request_release(
        self, owner: str, parts: tuple[BucketReport, ...]
    ) -> None:
        self._pending_releases.add(owner)
        try:
            grants = await self._send_report(
                owner, ShareReport(*self._expected_and_position, parts)
            )
        finally:
            self._pending_releases.discard(owner)
        if isinstance(grants, ShareGrants):
            self.holder.reclaim(grants.released, owner)

    async def _send_report(self, owner: str, report: ShareReport) -> object:
        if owner == self._members.own_name:
            return self.owner.handle_report(owner, report)
        if self._peers is None:
            return None
        return await self._peers.request(
            owner, report, timeout_ms=2 * self._times.report_ms
        )

    def _reports(self, owner: str, buckets: list[int]) -> tuple[BucketReport, ...]:
        now_ms = self._clock.now_ms()
        demands: dict[int, list[RowDemand]] = {bucket: [] for bucket in buckets}
        for key, limit in self._rows.items():
            rows = demands.get(bucket_of(key))
            if rows is not None and limit.is_active(now_ms=now_ms):
                demand = limit.demand(key, now_ms=now_ms)
                rows.append(self._excess_over_reserved(demand))
        return tuple(
            self.holder.report(
                bucket, owner, tuple(rows), static=self._static_share_of, now_ms=now_ms
            )
            for bucket, rows in demands.items()
        )

    def _excess_over_reserved(self, total: RowDemand) -> RowDemand:
        row = self._find_row(total.row)
        if row is None:
            return total
        reserved = reserved_share(self._static_share(row))
        demand = Share(
            max(0.0, total.demand.rate_per_s - reserved.rate_per_s),
            max(0, total.demand.in_flight - reserved.in_flight),
        )
        return RowDemand(total.row, demand, max(0, total.running - reserved.in_flight))

    def _buckets_by_owner(self) -> dict[str, list[int]]:
        names = [member.name for member in self._members.live()]
        names = names or [self._members.own_name]  # the last instance is leaving
        if names != self._assignment_members:
            self._assignment_members = names
            self._assignment = {}
            for bucket in range(BUCKETS):
                owner = rendezvous_order(f"shares/{bucket}", names)[0]
                self._assignment.setdefault(owner, []).append(bucket)
        return self._assignment

    def _static_share(self, row: Row) -> Share:
        expected, position = self._expected_and_position
        return static_share(row, expected=expected, position=position)

    def _static_share_of(self, key: RowKey) -> Share:
        row = self._find_row(key)
        return NO_SHARE if row is None else self._static_share(row)

    def _find_expected_and_position(self) -> tuple[int, int]:
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

    def _drop_unused(self) -> None:
        now_ms = self._clock.now_ms()
        unused = [
            key
            for key, limit in self._rows.items()
            if not limit.waiting and not limit.is_active(now_ms=now_ms)
        ]
        for key in unused:
            del self._rows[key]
