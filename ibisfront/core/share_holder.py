"""What this instance may use of each row, by its own clock.

Its use of a row has three parts. A small part of its safe share that is never
lent. What an owner granted, while the lease holds. And the rest of the safe
share, unless that is lent: then nothing in place of it while the lease holds,
and after a lapse the smaller of it and the last grant, until everything that
rests on the loan has lapsed too or the owner has released it.
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
    kept_share,
    lent_share,
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

_LOAN_LEASES = 2
"""An owner counts a report for one lease, and its grants last for one more."""


class _Granted:
    """The grants of one owner."""

    __slots__ = ("lease_until_ms", "shares")

    def __init__(self) -> None:
        self.lease_until_ms = 0.0
        self.shares: dict[RowKey, Share] = {}

    def share(self, key: RowKey) -> Share:
        """Return the last grant of a row, valid or not."""
        return self.shares.get(key, NO_SHARE)


class _Loan:
    """One bucket: to whom its safe shares are lent, and what was granted."""

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
        self.current = _Granted()
        self.former = _Granted()
        self.former_owner = ""
        self.former_acknowledged = 0
        self.rate_lent_until_ms = lent_until_ms
        self.in_flight_lent_until_ms = lent_until_ms

    def move_to(self, owner: str) -> None:
        """Report to another owner from now on."""
        if self.lending:
            self.former = self.current
            self.former_owner = self.owner
            self.former_acknowledged = self.acknowledged
        if owner == self.former_owner:
            self.former_owner = ""
        self.current = _Granted()
        self.owner = owner
        self.process = 0
        self.lending = False
        self.acknowledged = 0

    def take_back(self) -> None:
        """Have the safe shares back from the former owner."""
        self.former = _Granted()
        self.former_owner = ""
        self.rate_lent_until_ms = 0.0
        self.in_flight_lent_until_ms = 0.0

    def own_share(self, key: RowKey, safe: Share, now_ms: float) -> Share:
        """Return what may be used of the lent part of the safe share."""
        lent_to = self.current if self.lending else self.former
        last = lent_to.share(key)
        if now_ms < lent_to.lease_until_ms:
            return NO_SHARE if self.lending else last
        rate_per_s, in_flight = safe.rate_per_s, safe.in_flight
        if now_ms < self.rate_lent_until_ms:
            rate_per_s = min(rate_per_s, last.rate_per_s)
        if now_ms < self.in_flight_lent_until_ms:
            in_flight = min(in_flight, last.in_flight)
        return Share(rate_per_s, in_flight)


class ShareHolder:
    """The shares of this instance.

    A lease counts from when its request was sent, by our own clock, so that
    it ends here before it ends at the owner. Every use asks the clock first:
    a process that was stopped for longer than its lease finds it lapsed
    before it uses anything.

    Parameters
    ----------
    times : ShareTimes
        The times by which shares are lent.
    started_at_ms : float
        When this process started. An earlier process of the same instance may
        have lent its shares until a moment ago, and the others do not know of
        a new one yet; so nothing but grants is used for a time.
    """

    __slots__ = ("_joined_at_ms", "_loans", "_times", "left")

    def __init__(self, *, times: ShareTimes, started_at_ms: float) -> None:
        self._times = times
        self._joined_at_ms = started_at_ms + times.join_ms
        self._loans = [_Loan(self._joined_at_ms) for _ in range(BUCKETS)]
        self.left = False

    def usable(self, row: Row, safe: Share, *, now_ms: float) -> Share:
        """Return what may be used of a row now.

        Parameters
        ----------
        row : Row
            The row.
        safe : Share
            This instance's safe share of it.
        now_ms : float
            The time now, just read.
        """
        if self.left:
            return NO_SHARE
        key = row_key(row)
        loan = self._loans[bucket_of(key)]
        parts = [loan.own_share(key, lent_share(safe), now_ms)]
        if now_ms >= self._joined_at_ms:
            parts.append(kept_share(safe))
        if now_ms < loan.current.lease_until_ms:
            parts.append(loan.current.share(key))
        return add_shares(*parts)

    def has_lease(self, key: RowKey, *, now_ms: float) -> bool:
        """Return whether a lease names the row."""
        current = self._loans[bucket_of(key)].current
        return now_ms < current.lease_until_ms and key in current.shares

    def report(
        self,
        bucket: int,
        owner: str,
        rows: tuple[RowDemand, ...],
        *,
        safe: Callable[[RowKey], Share],
        now_ms: float,
    ) -> BucketReport:
        """Return the report of a bucket that is sent to its owner now.

        Parameters
        ----------
        bucket : int
            The bucket.
        owner : str
            Its owner, as this instance sees the members.
        rows : tuple of RowDemand
            What is wanted.
        safe : callable
            Returns this instance's safe share of a row.
        now_ms : float
            The time now.
        """
        loan = self._loans[bucket]
        if loan.owner != owner:
            loan.move_to(owner)
        if (
            not loan.lending
            and loan.acknowledged
            and now_ms >= loan.in_flight_lent_until_ms
        ):
            self._lend_first(loan, rows, safe)
        if loan.lending:
            # The owner counts the loan from when it issued what is now
            # acknowledged, which was before we had it; a report that brings
            # no reply extends nothing.
            lent_until_ms = loan.answered_at_ms + _LOAN_LEASES * self._times.lease_ms
            loan.rate_lent_until_ms = lent_until_ms
            loan.in_flight_lent_until_ms = lent_until_ms + self._times.drain_ms
        return BucketReport(bucket, loan.acknowledged, loan.lending, rows)

    def apply(
        self,
        buckets: list[int],
        owner: str,
        grants: ShareGrants,
        *,
        sent_at_ms: float,
        now_ms: float,
    ) -> None:
        """Put grants into force, in place of all earlier ones.

        Parameters
        ----------
        buckets : list of int
            The buckets that were reported.
        owner : str
            Who granted.
        grants : ShareGrants
            What was granted.
        sent_at_ms, now_ms : float
            When the report that asked for them was sent, and now.
        """
        for bucket in buckets:
            loan = self._loans[bucket]
            if loan.owner != owner:
                continue  # the bucket moved on while the reply was under way
            if loan.process not in (0, grants.process):
                # The owner has been restarted and knows of no loan. Its first
                # grants are empty; taking them in place of what is lent would
                # leave this instance with nothing.
                loan.move_to(owner)
                loan.former_owner = ""
            loan.process = grants.process
            loan.acknowledged = grants.sequence
            loan.answered_at_ms = now_ms
            loan.current.lease_until_ms = sent_at_ms + self._times.lease_ms
            loan.current.shares = {
                item.row: item.share
                for item in grants.rows
                if bucket_of(item.row) == bucket
            }

    @staticmethod
    def _lend_first(
        loan: _Loan, rows: tuple[RowDemand, ...], safe: Callable[[RowKey], Share]
    ) -> None:
        # Until the owner's answer is here, the safe share of what is in use
        # counts as granted, here and at the owner; or a slow answer would stop
        # every row that is in use.
        loan.lending = True
        for item in rows:
            granted = loan.current.share(item.row)
            lent = lent_share(safe(item.row))
            loan.current.shares[item.row] = add_shares(granted, lent)

    def withdrawals(self, *, now_ms: float) -> dict[str, list[BucketReport]]:
        """Return reports that ask former owners to release what is lent."""
        found: dict[str, list[BucketReport]] = {}
        for bucket, loan in enumerate(self._loans):
            if loan.former_owner and now_ms < loan.in_flight_lent_until_ms:
                report = BucketReport(bucket, loan.former_acknowledged, False, ())
                found.setdefault(loan.former_owner, []).append(report)
        return found

    def release(self, buckets: tuple[int, ...], owner: str) -> None:
        """Take back what a former owner has released."""
        for bucket in buckets:
            loan = self._loans[bucket]
            if loan.former_owner == owner:
                loan.take_back()

    def lapsed(self, *, now_ms: float) -> int:
        """Return how many buckets are without a lease."""
        return sum(now_ms >= loan.current.lease_until_ms for loan in self._loans)
