"""Shares of each row that this instance may use, by its own clock.

The usable share of a row is the sum of three parts: the reserved part of the
static share, which is never lent; the share granted by the owner, while its lease
is valid; and the lendable part of the static share. While that part is lent, it
counts as zero as long as the lease is valid. After the lease has expired, it is
capped at the last grant until every grant based on it has expired too or the owner
has released it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.core.share_messages import (
    BUCKETS,
    NO_SHARE,
    BucketReport,
    Share,
    add_shares,
    bucket_of,
    lendable_share,
    reserved_share,
    row_key,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisfront.core.share_messages import (
        RowDemand,
        RowKey,
        ShareGrants,
        ShareTimes,
    )
    from ibisfront.core.table import Row

__all__ = ["ShareHolder"]

_LENDING_PERIOD_LEASES = 2
"""The owner counts a lent share for one lease, and its last grant is valid for
one more."""


class _Grants:
    """The grants of one owner."""

    __slots__ = ("lease_until_ms", "shares")

    def __init__(self) -> None:
        self.lease_until_ms = 0.0
        self.shares: dict[RowKey, Share] = {}

    def share(self, key: RowKey) -> Share:
        """Return the last grant of a row, whether or not its lease is valid."""
        return self.shares.get(key, NO_SHARE)


class _BucketState:
    """One bucket: the owner that its static shares are lent to, and its grants."""

    __slots__ = (
        "acknowledged",
        "answered_at_ms",
        "current",
        "former",
        "former_acknowledged",
        "former_owner",
        "in_flight_lent_until_ms",
        "lending",
        "owner",
        "process",
        "rate_lent_until_ms",
    )

    def __init__(self, lent_until_ms: float) -> None:
        self.owner = ""
        self.process = 0
        self.lending = False
        self.acknowledged = 0
        self.answered_at_ms = 0.0
        self.current = _Grants()
        self.former = _Grants()
        self.former_owner = ""
        self.former_acknowledged = 0
        self.rate_lent_until_ms = lent_until_ms
        self.in_flight_lent_until_ms = lent_until_ms

    def change_owner(self, owner: str) -> None:
        """Switch to another owner, without any grants from it yet."""
        if self.lending:
            self.former = self.current
            self.former_owner = self.owner
            self.former_acknowledged = self.acknowledged
        if owner == self.former_owner:
            self.former_owner = ""
        self.current = _Grants()
        self.owner = owner
        self.process = 0
        self.lending = False
        self.acknowledged = 0

    def reclaim(self) -> None:
        """Reclaim the static shares from the former owner."""
        self.former = _Grants()
        self.former_owner = ""
        self.rate_lent_until_ms = 0.0
        self.in_flight_lent_until_ms = 0.0

    def static_part(self, key: RowKey, lendable: Share, now_ms: float) -> Share:
        """Return the usable part of the lendable share."""
        grants = self.current if self.lending else self.former
        last_grant = grants.share(key)
        if now_ms < grants.lease_until_ms:
            return NO_SHARE if self.lending else last_grant
        rate_per_s, in_flight = lendable.rate_per_s, lendable.in_flight
        if now_ms < self.rate_lent_until_ms:
            rate_per_s = min(rate_per_s, last_grant.rate_per_s)
        if now_ms < self.in_flight_lent_until_ms:
            in_flight = min(in_flight, last_grant.in_flight)
        return Share(rate_per_s, in_flight)


class ShareHolder:
    """The shares of this instance.

    A lease is counted from when its request was sent, by the local clock, so that
    it expires here before it expires at the owner. Every use reads the clock first:
    a process that was stopped for longer than its lease finds it expired before
    it uses the share.

    Parameters
    ----------
    times : ShareTimes
        Timing of reports and leases.
    started_at_ms : float
        When this process started. For the join time only grants are used: an
        earlier process of the same instance may have lent its shares until just
        before, and the other instances may not have learned of this one yet.

    Attributes
    ----------
    has_left : bool
        Set when the instance shuts down; nothing is usable from then on.
    """

    __slots__ = ("_buckets", "_joined_at_ms", "_times", "has_left")

    def __init__(self, *, times: ShareTimes, started_at_ms: float) -> None:
        self._times = times
        self._joined_at_ms = started_at_ms + times.join_ms
        self._buckets = [_BucketState(self._joined_at_ms) for _ in range(BUCKETS)]
        self.has_left = False

    def usable(self, row: Row, static: Share, *, now_ms: float) -> Share:
        """Return the share of a row that may be used now.

        Parameters
        ----------
        row : Row
            The row.
        static : Share
            This instance's static share of it.
        now_ms : float
            The current time, read immediately before the call.
        """
        if self.has_left:
            return NO_SHARE
        key = row_key(row)
        state = self._buckets[bucket_of(key)]
        parts = [state.static_part(key, lendable_share(static), now_ms)]
        if now_ms >= self._joined_at_ms:
            parts.append(reserved_share(static))
        if now_ms < state.current.lease_until_ms:
            parts.append(state.current.share(key))
        return add_shares(*parts)

    def has_lease(self, key: RowKey, *, now_ms: float) -> bool:
        """Return whether a valid lease includes the row."""
        current = self._buckets[bucket_of(key)].current
        return now_ms < current.lease_until_ms and key in current.shares

    def report(
        self,
        bucket: int,
        owner: str,
        rows: tuple[RowDemand, ...],
        *,
        static: Callable[[RowKey], Share],
        now_ms: float,
    ) -> BucketReport:
        """Return the report of a bucket to send to its owner now.

        Parameters
        ----------
        bucket : int
            The bucket.
        owner : str
            Its owner in this instance's view of the members.
        rows : tuple of RowDemand
            The demand.
        static : callable
            Returns this instance's static share of a row.
        now_ms : float
            The current time.
        """
        state = self._buckets[bucket]
        if state.owner != owner:
            state.change_owner(owner)
        if (
            not state.lending
            and state.acknowledged
            and now_ms >= state.in_flight_lent_until_ms
        ):
            self._start_lending(state, rows, static)
        if state.lending:
            # The owner counts the lease on the lent share from when it issued the
            # acknowledged grants, which is before they arrived here; a report
            # without a reply extends nothing.
            lent_until_ms = (
                state.answered_at_ms + _LENDING_PERIOD_LEASES * self._times.lease_ms
            )
            state.rate_lent_until_ms = lent_until_ms
            state.in_flight_lent_until_ms = lent_until_ms + self._times.drain_ms
        return BucketReport(bucket, state.acknowledged, state.lending, rows)

    def apply(
        self,
        buckets: list[int],
        owner: str,
        grants: ShareGrants,
        *,
        sent_at_ms: float,
        now_ms: float,
    ) -> None:
        """Replace the earlier grants of some buckets with new ones.

        Parameters
        ----------
        buckets : list of int
            The buckets that were reported.
        owner : str
            The instance that issued the grants.
        grants : ShareGrants
            The grants.
        sent_at_ms, now_ms : float
            When the report that requested them was sent, and the current time.
        """
        for bucket in buckets:
            state = self._buckets[bucket]
            if state.owner != owner:
                continue  # the owner changed while the reply was in flight
            if state.process not in (0, grants.process):
                # The owner was restarted and has lost the record of lent shares.
                # Its first grants are empty; using them in place of the lent shares
                # would leave this instance without any share.
                state.change_owner(owner)
                state.former_owner = ""
            state.process = grants.process
            state.acknowledged = grants.sequence
            state.answered_at_ms = now_ms
            state.current.lease_until_ms = sent_at_ms + self._times.lease_ms
            state.current.shares = {
                item.row: item.share
                for item in grants.rows
                if bucket_of(item.row) == bucket
            }

    @staticmethod
    def _start_lending(
        state: _BucketState,
        rows: tuple[RowDemand, ...],
        static: Callable[[RowKey], Share],
    ) -> None:
        # Until the owner replies, the lendable part of every reported row counts as
        # granted, here and at the owner. Otherwise a slow reply would block every
        # row in use.
        state.lending = True
        for item in rows:
            granted = state.current.share(item.row)
            lent = lendable_share(static(item.row))
            state.current.shares[item.row] = add_shares(granted, lent)

    def release_requests(self, *, now_ms: float) -> dict[str, list[BucketReport]]:
        """Return the reports that request former owners to release lent shares."""
        requests: dict[str, list[BucketReport]] = {}
        for bucket, state in enumerate(self._buckets):
            if state.former_owner and now_ms < state.in_flight_lent_until_ms:
                report = BucketReport(bucket, state.former_acknowledged, False, ())
                requests.setdefault(state.former_owner, []).append(report)
        return requests

    def reclaim(self, buckets: tuple[int, ...], owner: str) -> None:
        """Reclaim the shares that a former owner has released."""
        for bucket in buckets:
            state = self._buckets[bucket]
            if state.former_owner == owner:
                state.reclaim()

    def expired_leases(self, *, now_ms: float) -> int:
        """Return the number of buckets without a valid lease."""
        return sum(now_ms >= state.current.lease_until_ms for state in self._buckets)
