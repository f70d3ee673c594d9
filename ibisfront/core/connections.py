"""A fair queue for the few connections to one backend server."""

from __future__ import annotations

from collections import deque

import trio

__all__ = ["ConnectionPlaces"]


class _Waiter:
    """One sub-request that waits for a place."""

    __slots__ = ("branch", "granted")

    def __init__(self, branch: str) -> None:
        self.branch = branch
        self.granted = trio.Event()


class _BranchQueues:
    """Waiters by branch; the branches take turns."""

    __slots__ = ("_by_branch", "_turns", "count")

    def __init__(self) -> None:
        self._by_branch: dict[str, deque[_Waiter]] = {}
        self._turns: deque[str] = deque()
        self.count = 0

    def add(self, waiter: _Waiter) -> None:
        """Put a waiter last in its branch."""
        queue = self._by_branch.get(waiter.branch)
        if queue is None:
            queue = self._by_branch[waiter.branch] = deque()
            self._turns.append(waiter.branch)
        queue.append(waiter)
        self.count += 1

    def take(self) -> _Waiter:
        """Remove and return the first waiter of the branch whose turn it is."""
        branch = self._turns.popleft()
        queue = self._by_branch[branch]
        waiter = queue.popleft()
        self.count -= 1
        if queue:
            self._turns.append(branch)
        else:
            del self._by_branch[branch]
        return waiter

    def discard(self, waiter: _Waiter) -> None:
        """Remove a waiter that has given up."""
        queue = self._by_branch[waiter.branch]
        queue.remove(waiter)
        self.count -= 1
        if not queue:
            del self._by_branch[waiter.branch]
            self._turns.remove(waiter.branch)


class ConnectionPlaces:
    """The places for sub-requests at one backend server.

    A place is one connection in use. Urgent waiters go before all others,
    and among equals the branches take turns, so that neither a bulk run nor a
    busy branch holds up a name check at the desk.

    Parameters
    ----------
    maximum : int
        How many places there are; may change at any time.

    Attributes
    ----------
    held : int
        Places in use.
    maximum : float
        How many places there are.
    """

    __slots__ = ("_bulk", "_urgent", "held", "maximum")

    def __init__(self, maximum: float) -> None:
        self.maximum = maximum
        self.held = 0
        self._urgent = _BranchQueues()
        self._bulk = _BranchQueues()

    @property
    def waiting(self) -> int:
        """How many sub-requests wait for a place."""
        return self._urgent.count + self._bulk.count

    async def acquire(self, branch: str, *, urgent: bool) -> None:
        """Take a place, waiting for a turn if all are in use."""
        if self.held < self.maximum and not self.waiting:
            self.held += 1
            return
        queues = self._urgent if urgent else self._bulk
        waiter = _Waiter(branch)
        queues.add(waiter)
        # A waiter may come while places are free, after the maximum rose.
        self.hand_out()
        try:
            await waiter.granted.wait()
        except trio.Cancelled:
            # A place may have been granted in the moment of the
            # cancellation; without handing it on it would be lost for good.
            if waiter.granted.is_set():
                self.release()
            else:
                queues.discard(waiter)
            raise

    def release(self) -> None:
        """Give a place back, to the next waiter if there is one."""
        self.held -= 1
        self.hand_out()

    def hand_out(self) -> None:
        """Grant free places; called after the maximum has changed."""
        while self.held < self.maximum and self.waiting:
            queues = self._urgent if self._urgent.count else self._bulk
            self.held += 1
            queues.take().granted.set()
