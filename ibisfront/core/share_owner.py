"""The owner of a bucket, which grants the shares that instances have lent to it.

Each instance has a static share of every row: the limit divided by the number of
instances that have not left. By reporting, it lends that share to one owner at a
time and uses only what the owner grants. The owner's pool of a row is the sum of
the shares lent to it. Two concurrent owners, as in a network partition, therefore
never grant a share twice, and each side grants only its part of the limit.
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
    lendable_share,
    row_key,
    static_share,
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

_DIVISION_MAX_AGE_MS = 50.0
_ROTATION_MS = 2_000.0
_SURPLUS_FRACTION = 0.5
"""Half of the unclaimed capacity is granted. The other half stays available
immediately to an instance without demand so far."""


class _Grant(msgspec.Struct):
    """Shares granted to one instance, with their expiry."""

    sequence: int
    issued_at_ms: float
    expires_at_ms: float
    shares: dict[RowKey, Share]


class _InstanceState:
    """The reports and grants of one instance for one bucket."""

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

    def apply_report(
        self, report: ShareReport, part: BucketReport, now_ms: float
    ) -> None:
        """Update the state from a report."""
        self.expected = report.expected
        self.position = report.position
        self.reported_at_ms = now_ms
        self.lends = part.lends
        self.demands = {item.row: item for item in part.rows}
        self._acknowledge(part.acknowledged)

    def max_in_use(self, key: RowKey, now_ms: float, drain_ms: float) -> Share:
        """Return an upper bound on the instance's current use of a row."""
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

    def drop_expired(self, now_ms: float, drain_ms: float) -> bool:
        """Drop expired grants; return whether the instance has expired."""
        self.grants = [
            grant for grant in self.grants if now_ms < grant.expires_at_ms + drain_ms
        ]
        return not self.grants and now_ms >= self.reported_at_ms + drain_ms

    def _acknowledge(self, sequence: int) -> None:
        # A report can be delayed in a stream. It proves only that its sender was
        # alive after the acknowledged grants were issued. The lent share therefore
        # counts from then, not from the arrival of the report, and expires here
        # before the sender returns to its static share by its own clock.
        for grant in self.grants:
            if grant.sequence == sequence:
                self.confirmed_at_ms = grant.issued_at_ms
                self.grants = [
                    item for item in self.grants if item.sequence >= sequence
                ]
                return


class _Bucket:
    """The reporting instances and the last division of each row of one bucket."""

    __slots__ = ("divided_at_ms", "instances", "targets")

    def __init__(self) -> None:
        self.instances: dict[str, _InstanceState] = {}
        self.targets: dict[RowKey, dict[str, Share]] = {}
        self.divided_at_ms: dict[RowKey, float] = {}


class ShareOwner:
    """Answers reports; any instance may receive one at any time.

    Parameters
    ----------
    clock : Clock
        The tier's clock.
    times : ShareTimes
        Timing of reports and leases.
    find_row : callable
        Returns a row of the current table, or None.
    has_table : callable
        Returns whether there is a current table.
    first_sequence : int
        Larger than any sequence number of an earlier process of this instance.
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

    def handle_report(self, name: str, report: ShareReport) -> ShareGrants:
        """Apply a report and return the grants for the reporter.

        Parameters
        ----------
        name : str
            The reporting instance.
        report : ShareReport
            The report.
        """
        if not self._has_table():
            # A process may receive a report before it has read the table. It must
            # not accept lent shares, as it cannot grant any.
            return ShareGrants(self._first_sequence, 0, ())
        now_ms = self._clock.now_ms()
        self._sequence += 1
        grants: list[RowGrant] = []
        released: list[int] = []
        for part in report.buckets:
            bucket = self._buckets.setdefault(part.bucket, _Bucket())
            if report.leaving:
                bucket.instances.pop(name, None)
                continue
            self._drop_expired(bucket, now_ms)
            instance = bucket.instances.setdefault(name, _InstanceState())
            starts_lending = part.lends and not instance.lends
            instance.apply_report(report, part, now_ms)
            if starts_lending:
                self._record_lending_start(instance, now_ms)
            if self._can_release(bucket, name, part, now_ms):
                released.append(part.bucket)
            shares = self._shares(bucket, name, now_ms)
            instance.grants.append(
                _Grant(self._sequence, now_ms, now_ms + self._times.lease_ms, shares)
            )
            grants.extend(RowGrant(key, share) for key, share in shares.items())
        return ShareGrants(
            self._first_sequence, self._sequence, tuple(grants), tuple(released)
        )

    def _record_lending_start(self, instance: _InstanceState, now_ms: float) -> None:
        # An instance that starts lending keeps using its static share until it has
        # applied the grants of this reply; see ShareHolder.report.
        if not instance.grants:
            return
        last_grant = instance.grants[-1]
        shares = dict(last_grant.shares)
        for key in instance.demands:
            row = self._find_row(key)
            if row is not None:
                lent = lendable_share(
                    static_share(
                        row, expected=instance.expected, position=instance.position
                    )
                )
                shares[key] = add_shares(shares.get(key, NO_SHARE), lent)
        expires_at_ms = now_ms + self._times.lease_ms
        instance.grants.append(
            _Grant(last_grant.sequence, now_ms, expires_at_ms, shares)
        )

    def _can_release(
        self, bucket: _Bucket, name: str, part: BucketReport, now_ms: float
    ) -> bool:
        # An earlier process of this instance may have granted from the lent shares,
        # of which this one has no record. Its sequence numbers are smaller.
        if part.lends or part.acknowledged <= self._first_sequence:
            return False
        keys = {
            key
            for instance in bucket.instances.values()
            for grant in instance.grants
            for key in grant.shares
        }
        rows = [row for key in keys if (row := self._find_row(key)) is not None]
        return all(self._is_covered(bucket, row, name, now_ms) for row in rows)

    def _is_covered(self, bucket: _Bucket, row: Row, name: str, now_ms: float) -> bool:
        pool = self._pool(bucket, row, now_ms)
        in_use = self._in_use_by_others(bucket, row_key(row), name, now_ms)
        return (
            in_use.rate_per_s <= pool.rate_per_s and in_use.in_flight <= pool.in_flight
        )

    def _in_use_by_others(
        self, bucket: _Bucket, key: RowKey, name: str, now_ms: float
    ) -> Share:
        shares_in_use = [
            instance.max_in_use(key, now_ms, self._times.drain_ms)
            for other, instance in bucket.instances.items()
            if other != name
        ]
        return Share(
            sum(share.rate_per_s for share in shares_in_use),
            sum(share.in_flight for share in shares_in_use),
        )

    def _shares(self, bucket: _Bucket, name: str, now_ms: float) -> dict[RowKey, Share]:
        shares = {}
        for key in bucket.instances[name].demands:
            row = self._find_row(key)
            if row is not None:
                shares[key] = self._share(bucket, row, name, now_ms)
        return shares

    def _share(self, bucket: _Bucket, row: Row, name: str, now_ms: float) -> Share:
        key = row_key(row)
        pool = self._pool(bucket, row, now_ms)
        in_use = self._in_use_by_others(bucket, key, name, now_ms)
        free_rate = pool.rate_per_s - in_use.rate_per_s
        free_slots = pool.in_flight - in_use.in_flight
        target = self._target(bucket, key, name, pool, now_ms)
        return Share(
            max(0.0, min(target.rate_per_s, free_rate)),
            max(0, min(target.in_flight, free_slots)),
        )

    def _pool(self, bucket: _Bucket, row: Row, now_ms: float) -> Share:
        lease_ms = self._times.lease_ms
        rate_per_s, in_flight = 0.0, 0
        for instance in bucket.instances.values():
            if not instance.lends or now_ms >= instance.confirmed_at_ms + lease_ms:
                continue
            static = static_share(
                row, expected=instance.expected, position=instance.position
            )
            lent = lendable_share(static)
            rate_per_s += lent.rate_per_s
            in_flight += lent.in_flight
        return Share(rate_per_s, in_flight)

    def _target(
        self, bucket: _Bucket, key: RowKey, name: str, pool: Share, now_ms: float
    ) -> Share:
        # A division for each report would have a cost quadratic in the number of
        # instances, so a division is reused for all reports of a short period.
        is_current = (
            now_ms < bucket.divided_at_ms.get(key, -math.inf) + _DIVISION_MAX_AGE_MS
        )
        lends = bucket.instances[name].lends
        if not is_current or (lends and name not in bucket.targets[key]):
            bucket.targets[key] = self._divide(bucket, key, pool, now_ms)
            bucket.divided_at_ms[key] = now_ms
        return bucket.targets[key].get(name, NO_SHARE)

    def _divide(
        self, bucket: _Bucket, key: RowKey, pool: Share, now_ms: float
    ) -> dict[str, Share]:
        claimants = [
            name
            for name, instance in bucket.instances.items()
            if key in instance.demands
            and instance.lends  # otherwise it uses its static share and no surplus
            and now_ms < instance.reported_at_ms + self._times.lease_ms
        ]
        # With fewer slots than instances some get none, so the order rotates.
        rotation = int(now_ms / _ROTATION_MS)
        names = rendezvous_order(f"{key.branch}/{key.purpose}/{rotation}", claimants)
        demands = [bucket.instances[name].demands[key].demand for name in names]
        rates = divide(
            pool.rate_per_s,
            [item.rate_per_s for item in demands],
            surplus_fraction=_SURPLUS_FRACTION,
        )
        slots = divide_whole(
            pool.in_flight,
            [item.in_flight for item in demands],
            surplus_fraction=_SURPLUS_FRACTION,
        )
        return {
            name: Share(rate, count)
            for name, rate, count in zip(names, rates, slots, strict=True)
        }

    def _drop_expired(self, bucket: _Bucket, now_ms: float) -> None:
        expired = [
            name
            for name, instance in bucket.instances.items()
            if instance.drop_expired(now_ms, self._times.drain_ms)
        ]
        for name in expired:
            del bucket.instances[name]
