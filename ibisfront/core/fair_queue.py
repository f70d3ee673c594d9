"""Weighted fair queue over branches, with urgent rows first in each branch.

Start-time fair queueing on two levels. Each branch, and each row within its
branch, carries a virtual start tag. The flow with the smallest tag is served
next, and its tag then grows by one over its weight. A flow that was idle starts
at the current virtual time, so it earns no credit while idle and waits for at
most one request of each other flow.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ibisfront.core.errors import IbisfrontError

__all__ = ["FairQueue", "Waiter"]


class Waiter:
    """One request that waits to start.

    Parameters
    ----------
    branch, purpose : str
        The row of the request.
    weight : float
        The row's weight.
    urgent : bool
        Whether it starts before the non-urgent requests of its branch.
    """

    __slots__ = (
        "branch",
        "purpose",
        "rejection",
        "settled",
        "started",
        "urgent",
        "weight",
    )

    def __init__(
        self, branch: str, purpose: str, *, weight: float, urgent: bool
    ) -> None:
        self.branch = branch
        self.purpose = purpose
        self.weight = weight
        self.urgent = urgent
        self.started = False
        self.rejection: IbisfrontError | None = None
        self.settled = trio.Event()

    def start(self) -> None:
        """Settle the request by starting it."""
        self.started = True
        self.settled.set()

    def reject(self, rejection: IbisfrontError) -> None:
        """Settle the request with an error instead of starting it."""
        self.rejection = rejection
        self.settled.set()


class _RowFlow:
    """The requests of one row that wait or run."""

    __slots__ = ("running", "start_tag", "urgent", "waiters", "weight")

    def __init__(self) -> None:
        self.weight = 1.0
        self.urgent = False
        self.start_tag = 0.0
        self.running = 0
        self.waiters: dict[Waiter, None] = {}  # an ordered set


class _BranchFlow:
    """The rows of one branch."""

    __slots__ = (
        "_fixed_weight",
        "rows",
        "running",
        "start_tag",
        "virtual_time",
        "waiting",
    )

    def __init__(self, fixed_weight: float | None) -> None:
        self._fixed_weight = fixed_weight
        self.start_tag = 0.0
        self.virtual_time = 0.0
        self.running = 0
        self.waiting = 0
        self.rows: dict[str, _RowFlow] = {}

    @property
    def weight(self) -> float:
        """The fixed weight, or the sum of the weights of the rows.

        Idle rows count too: capacity that a row does not use goes to the other
        rows of its branch first.
        """
        if self._fixed_weight is not None:
            return self._fixed_weight
        return sum(row.weight for row in self.rows.values())

    @property
    def urgent_waiting(self) -> int:
        """The number of urgent requests that wait."""
        return sum(len(row.waiters) for row in self.rows.values() if row.urgent)

    def next_row(self) -> _RowFlow:
        """Return the row to serve next; at least one must have a waiter."""
        waiting = (row for row in self.rows.values() if row.waiters)
        return min(waiting, key=lambda row: (not row.urgent, row.start_tag))


class FairQueue:
    """The waiting and running requests of one group of services.

    Parameters
    ----------
    branch_weight : float, optional
        Weight of every branch; by default the sum of the weights of its rows.
    """

    __slots__ = ("_branch_weight", "_branches", "_virtual_time", "running", "waiting")

    def __init__(self, *, branch_weight: float | None = None) -> None:
        self._branch_weight = branch_weight
        self._branches: dict[str, _BranchFlow] = {}
        self._virtual_time = 0.0
        self.waiting = 0
        self.running = 0

    def push(self, waiter: Waiter) -> None:
        """Append a request to its row."""
        branch = self._branches.get(waiter.branch)
        if branch is None:
            branch = self._branches[waiter.branch] = _BranchFlow(self._branch_weight)
        row = branch.rows.setdefault(waiter.purpose, _RowFlow())
        row.weight = waiter.weight
        row.urgent = waiter.urgent
        if not branch.waiting:
            branch.start_tag = max(branch.start_tag, self._virtual_time)
        if not row.waiters:
            row.start_tag = max(row.start_tag, branch.virtual_time)
        row.waiters[waiter] = None
        branch.waiting += 1
        self.waiting += 1

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that still waits."""
        branch = self._branches[waiter.branch]
        del branch.rows[waiter.purpose].waiters[waiter]
        branch.waiting -= 1
        self.waiting -= 1
        self._drop_if_idle(waiter)

    def pop(self, is_eligible: Callable[[str], bool] | None = None) -> Waiter | None:
        """Start the next request and return it, or None if there is none.

        Parameters
        ----------
        is_eligible : callable, optional
            If given, only urgent requests of the branches for which it returns
            true are considered.
        """
        names = [
            name
            for name, flow in self._branches.items()
            if flow.waiting
            and (is_eligible is None or (flow.urgent_waiting and is_eligible(name)))
        ]
        if not names:
            return None
        return self._start(self._branches[min(names, key=self._sort_key)])

    def peek(self) -> Waiter | None:
        """Return the next request without starting it, or None if there is none."""
        names = [name for name, flow in self._branches.items() if flow.waiting]
        if not names:
            return None
        row = self._branches[min(names, key=self._sort_key)].next_row()
        return next(iter(row.waiters))

    def contains(self, waiter: Waiter) -> bool:
        """Return whether a request waits here."""
        branch = self._branches.get(waiter.branch)
        row = None if branch is None else branch.rows.get(waiter.purpose)
        return row is not None and waiter in row.waiters

    def waiters(self) -> Iterator[Waiter]:
        """Yield the waiting requests, each row in the order of arrival."""
        for branch in self._branches.values():
            for row in branch.rows.values():
                yield from row.waiters

    def waiting_by_row(self) -> dict[tuple[str, str], int]:
        """Return the number of waiting requests by branch and purpose."""
        return {
            (branch, purpose): len(row.waiters)
            for branch, flow in self._branches.items()
            for purpose, row in flow.rows.items()
            if row.waiters
        }

    def finish(self, waiter: Waiter) -> None:
        """Record that a started request has ended."""
        branch = self._branches[waiter.branch]
        branch.rows[waiter.purpose].running -= 1
        branch.running -= 1
        self.running -= 1
        self._drop_if_idle(waiter)

    def is_below_share(self, branch: str, slots: float) -> bool:
        """Return whether a branch uses less than its weighted share of slots."""
        flow = self._branches[branch]
        return flow.running < slots * flow.weight / self._total_weight()

    def requests_ahead(self, waiter: Waiter) -> float:
        """Return the estimated number of requests that start before a waiting one."""
        branch = self._branches[waiter.branch]
        ahead = branch.urgent_waiting if waiter.urgent else branch.waiting
        waiting_weight = sum(
            flow.weight for flow in self._branches.values() if flow.waiting
        )
        return min(self.waiting, ahead * waiting_weight / branch.weight)

    def eviction_candidate(self, capacity: float) -> Waiter | None:
        """Return the newest waiter of the branch that exceeds its share most.

        Waiters of non-urgent rows are chosen first.

        Parameters
        ----------
        capacity : float
            Number of waiters that the queue admits in total.
        """
        total = self._total_weight()

        def excess(flow: _BranchFlow) -> float:
            return flow.waiting - capacity * flow.weight / total

        branch = max(self._branches.values(), key=excess)
        if excess(branch) <= 0:
            return None
        rows = [row for row in branch.rows.values() if row.waiters]
        return next(reversed(min(rows, key=lambda row: row.urgent).waiters))

    def _start(self, branch: _BranchFlow) -> Waiter:
        row = branch.next_row()
        self._virtual_time = max(self._virtual_time, branch.start_tag)
        branch.virtual_time = max(branch.virtual_time, row.start_tag)
        branch.start_tag += 1.0 / branch.weight
        row.start_tag += 1.0 / row.weight
        waiter = next(iter(row.waiters))
        del row.waiters[waiter]
        row.running += 1
        branch.waiting -= 1
        branch.running += 1
        self.waiting -= 1
        self.running += 1
        waiter.start()
        return waiter

    def _sort_key(self, name: str) -> tuple[float, bool, str]:
        branch = self._branches[name]
        return branch.start_tag, not branch.urgent_waiting, name

    def _total_weight(self) -> float:
        return sum(
            flow.weight
            for flow in self._branches.values()
            if flow.waiting or flow.running
        )

    def _drop_if_idle(self, waiter: Waiter) -> None:
        # Branches come and go with the rows of the table. An idle flow whose start
        # tag is not ahead of the virtual time is dropped, which bounds memory.
        branch = self._branches[waiter.branch]
        idle = not branch.waiting and not branch.running
        if idle and branch.start_tag <= self._virtual_time:
            del self._branches[waiter.branch]
