"""The owner of a bucket: lends out what the instances have lent to it.

Each instance owns a safe share of every row: the limit over the number of
instances that have not left. By reporting it lends that share to one owner at
a time and uses only what the owner grants. The owner's pool of a row is the
sum of what it was lent, so that two owners at once, as in a cut, never give
out a share twice, and a side of a cut gives out its part of the limit only.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.max_min import divide, divide_whole
from ibisfront.core.rendezvous import rendezvous_order
from ibisfront.core.share_messages import (
    NO_SHARE,
    RowGrant,
    Share,
    ShareGrants,
    add_shares,
    lent_share,
    row_key,
    safe_share,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisfront.core.clock import Clock
    from ibisfront.core.share_messages import (
        BucketReport,
        RowDemand,
        RowKey,
        ShareReport,
        ShareTimes,
    )
    from ibisfront.core.table import Row

__all__ = ["ShareOwner"]

_DIVIDE_AGAIN_MS = 50.0
_TURN_MS = 2_000.0
_SPARE_PART = 0.5
"""What nobody wants is granted in half; the other half is there at once for
an instance that did not want any until now."""


class _Grant(msgspec.Struct):
    """Shares given to one instance, and until when it may use them."""

    sequence: int
    issued_at_ms: float
    expires_at_ms: float
    shares: dict[RowKey, Share]


class _Lender:
    """One instance, as the owner of one bucket knows it."""

    __slots__ = (
        "confirmed_at_ms",
        "demands",
        "expected",
        "grants",
        "lends",
        "position",
        "reported_at_ms",
    )

    def __init__(self) -> None:
        self.expected = 1
        self.position = 0
        self.reported_at_ms = -math.inf
        self.confirmed_at_ms = -math.inf
        self.lends = False
        self.demands: dict[RowKey, RowDemand] = {}
        self.grants: list[_Grant] = []

    def take(self, report: ShareReport, part: BucketReport, now_ms: float) -> None:
        """Take in a report."""
        self.expected = report.expected
        self.position = report.position
        self.reported_at_ms = now_ms
        self.lends = part.lends
        self.demands = {item.row: item for item in part.rows}
        self._acknowledge(part.acknowledged)

    def held(self, key: RowKey, now_ms: float, drain_ms: float) -> Share:
        """Return the most that the instance may be using of a row."""
        rate_per_s, in_flight = 0.0, 0
        for grant in self.grants:
            share = grant.shares.get(key, NO_SHARE)
            if now_ms < grant.expires_at_ms:
                rate_per_s = max(rate_per_s, share.rate_per_s)
            if now_ms < grant.expires_at_ms + drain_ms:
                in_flight = max(in_flight, share.in_flight)
        demand = self.demands.get(key)
        if demand is not None and now_ms < self.reported_at_ms + drain_ms:
            in_flight = max(in_flight, demand.running)
        return Share(rate_per_s, in_flight)

    def forget_expired(self, now_ms: float, drain_ms: float) -> bool:
        """Drop what has run out; return whether nothing is left."""
        self.grants = [
            grant for grant in self.grants if now_ms < grant.expires_at_ms + drain_ms
        ]
        return not self.grants and now_ms >= self.reported_at_ms + drain_ms

    def _acknowledge(self, sequence: int) -> None:
        # A report can lie in a stream for long and arrive late. It proves only
        # that its sender was there after the grants that it acknowledges were
        # issued; so the loan counts from then, not from the arrival, and ends
        # before the sender goes back to its safe share by its own clock.
        for grant in self.grants:
            if grant.sequence == sequence:
                self.confirmed_at_ms = grant.issued_at_ms
                self.grants = [
                    item for item in self.grants if item.sequence >= sequence
                ]
                return


class _Bucket:
    """The lenders of one bucket, and the last division of each of its rows."""

    __slots__ = ("divided_at_ms", "lenders", "targets")

    def __init__(self) -> None:
        self.lenders: dict[str, _Lender] = {}
        self.targets: dict[RowKey, dict[str, Share]] = {}
        self.divided_at_ms: dict[RowKey, float] = {}


class ShareOwner:
    """Answers reports; any instance may be asked at any time.

    Parameters
    ----------
    clock : Clock
        The tier's clock.
    times : ShareTimes
        The times by which shares are lent.
    find_row : callable
        Returns a row of the table in force, or None.
    has_table : callable
        Returns whether a table is in force.
    first_sequence : int
        Larger than any number of an earlier process of this instance.
    """

    __slots__ = (
        "_buckets",
        "_clock",
        "_find_row",
        "_first_sequence",
        "_has_table",
        "_sequence",
        "_times",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        times: ShareTimes,
        find_row: Callable[[RowKey], Row | None],
        has_table: Callable[[], bool],
        first_sequence: int = 1,
    ) -> None:
        self._clock = clock
        self._times = times
        self._find_row = find_row
        self._has_table = has_table
        self._first_sequence = first_sequence
        self._sequence = first_sequence
        self._buckets: dict[int, _Bucket] = {}

    def answer(self, name: str, report: ShareReport) -> ShareGrants:
        """Take in a report and return the reporter's shares.

        Parameters
        ----------
        name : str
            The instance that reports.
        report : ShareReport
            Its report.
        """
        if not self._has_table():
            # A process that has just started may be asked before it has read
            # the table. It must not take loans that it cannot serve.
            return ShareGrants(self._first_sequence, 0, ())
        now_ms = self._clock.now_ms()
        self._sequence += 1
        grants: list[RowGrant] = []
        released: list[int] = []
        for part in report.buckets:
            bucket = self._buckets.setdefault(part.bucket, _Bucket())
            if report.leaving:
                bucket.lenders.pop(name, None)
                continue
            self._forget_expired(bucket, now_ms)
            lender = bucket.lenders.setdefault(name, _Lender())
            first_loan = part.lends and not lender.lends
            lender.take(report, part, now_ms)
            if first_loan:
                self._note_first_loan(lender, now_ms)
            if self._can_release(bucket, name, part, now_ms):
                released.append(part.bucket)
            shares = self._shares(bucket, name, now_ms)
            lender.grants.append(
                _Grant(self._sequence, now_ms, now_ms + self._times.lease_ms, shares)
            )
            grants.extend(RowGrant(key, share) for key, share in shares.items())
        return ShareGrants(
            self._first_sequence, self._sequence, tuple(grants), tuple(released)
        )

    def _note_first_loan(self, lender: _Lender, now_ms: float) -> None:
        # What is lent for the first time stays in use by the lender until it
        # has applied our grants; see ShareHolder.report.
        if not lender.grants:
            return
        last = lender.grants[-1]
        shares = dict(last.shares)
        for key in lender.demands:
            row = self._find_row(key)
            if row is not None:
                lent = lent_share(
                    safe_share(row, expected=lender.expected, position=lender.position)
                )
                shares[key] = add_shares(shares.get(key, NO_SHARE), lent)
        expires_at_ms = now_ms + self._times.lease_ms
        lender.grants.append(_Grant(last.sequence, now_ms, expires_at_ms, shares))

    def _can_release(
        self, bucket: _Bucket, name: str, part: BucketReport, now_ms: float
    ) -> bool:
        # An earlier process of this instance may have lent on what it was lent,
        # and this one knows nothing of it; its numbers are smaller than ours.
        if part.lends or part.acknowledged <= self._first_sequence:
            return False
        keys = {
            key
            for lender in bucket.lenders.values()
            for grant in lender.grants
            for key in grant.shares
        }
        rows = [row for key in keys if (row := self._find_row(key)) is not None]
        return all(self._is_covered(bucket, row, name, now_ms) for row in rows)

    def _is_covered(self, bucket: _Bucket, row: Row, name: str, now_ms: float) -> bool:
        pool = self._pool(bucket, row, now_ms)
        held = self._held_by_others(bucket, row_key(row), name, now_ms)
        return held.rate_per_s <= pool.rate_per_s and held.in_flight <= pool.in_flight

    def _held_by_others(
        self, bucket: _Bucket, key: RowKey, name: str, now_ms: float
    ) -> Share:
        held = [
            lender.held(key, now_ms, self._times.drain_ms)
            for other, lender in bucket.lenders.items()
            if other != name
        ]
        return Share(
            sum(share.rate_per_s for share in held),
            sum(share.in_flight for share in held),
        )

    def _shares(self, bucket: _Bucket, name: str, now_ms: float) -> dict[RowKey, Share]:
        shares = {}
        for key in bucket.lenders[name].demands:
            row = self._find_row(key)
            if row is not None:
                shares[key] = self._share(bucket, row, name, now_ms)
        return shares

    def _share(self, bucket: _Bucket, row: Row, name: str, now_ms: float) -> Share:
        key = row_key(row)
        pool = self._pool(bucket, row, now_ms)
        held = self._held_by_others(bucket, key, name, now_ms)
        free_rate = pool.rate_per_s - held.rate_per_s
        free_places = pool.in_flight - held.in_flight
        target = self._target(bucket, key, name, pool, now_ms)
        return Share(
            max(0.0, min(target.rate_per_s, free_rate)),
            max(0, min(target.in_flight, free_places)),
        )

    def _pool(self, bucket: _Bucket, row: Row, now_ms: float) -> Share:
        lease_ms = self._times.lease_ms
        rate_per_s, in_flight = 0.0, 0
        for lender in bucket.lenders.values():
            if not lender.lends or now_ms >= lender.confirmed_at_ms + lease_ms:
                continue
            safe = safe_share(row, expected=lender.expected, position=lender.position)
            lent = lent_share(safe)
            rate_per_s += lent.rate_per_s
            in_flight += lent.in_flight
        return Share(rate_per_s, in_flight)

    def _target(
        self, bucket: _Bucket, key: RowKey, name: str, pool: Share, now_ms: float
    ) -> Share:
        # Dividing anew for each report would cost the square of the number of
        # instances; a division serves all reports of the next moment.
        fresh = now_ms < bucket.divided_at_ms.get(key, -math.inf) + _DIVIDE_AGAIN_MS
        lends = bucket.lenders[name].lends
        if not fresh or (lends and name not in bucket.targets[key]):
            bucket.targets[key] = self._divided(bucket, key, pool, now_ms)
            bucket.divided_at_ms[key] = now_ms
        return bucket.targets[key].get(name, NO_SHARE)

    def _divided(
        self, bucket: _Bucket, key: RowKey, pool: Share, now_ms: float
    ) -> dict[str, Share]:
        wanting = [
            name
            for name, lender in bucket.lenders.items()
            if key in lender.demands
            and lender.lends  # else it uses its own share, and needs no spare
            and now_ms < lender.reported_at_ms + self._times.lease_ms
        ]
        # With fewer places than instances some get none; they take turns.
        turn = int(now_ms / _TURN_MS)
        names = rendezvous_order(f"{key.branch}/{key.purpose}/{turn}", wanting)
        demands = [bucket.lenders[name].demands[key].demand for name in names]
        rates = divide(
            pool.rate_per_s,
            [item.rate_per_s for item in demands],
            spare_part=_SPARE_PART,
        )
        places = divide_whole(
            pool.in_flight,
            [item.in_flight for item in demands],
            spare_part=_SPARE_PART,
        )
        return {
            name: Share(rate, count)
            for name, rate, count in zip(names, rates, places, strict=True)
        }

    def _forget_expired(self, bucket: _Bucket, now_ms: float) -> None:
        gone = [
            name
            for name, lender in bucket.lenders.items()
            if lender.forget_expired(now_ms, self._times.drain_ms)
        ]
        for name in gone:
            del bucket.lenders[name]
