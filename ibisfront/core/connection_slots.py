"""A fair queue for the limited connections to one backend server."""

from __future__ import annotations

from collections import deque

import trio

__all__ = ["ConnectionSlots"]


class _Waiter:
    """One sub-request waiting for a slot."""

    __slots__ = ("branch", "granted")

    def __init__(self, branch: str) -> None:
        self.branch = branch
        self.granted = trio.Event()


class _BranchQueues:
    """Waiters by branch, served round robin over the branches."""

    __slots__ = ("_by_branch", "_rotation", "count")

    def __init__(self) -> None:
        self._by_branch: dict[str, deque[_Waiter]] = {}
        self._rotation: deque[str] = deque()
        self.count = 0

    def add(self, waiter: _Waiter) -> None:
        """Append a waiter to the queue of its branch."""
        queue = self._by_branch.get(waiter.branch)
        if queue is None:
            queue = self._by_branch[waiter.branch] = deque()
            self._rotation.append(waiter.branch)
        queue.append(waiter)
        self.count += 1

    def pop(self) -> _Waiter:
        """Remove and return the first waiter of the next branch in the rotation."""
        branch = self._rotation.popleft()
        queue = self._by_branch[branch]
        waiter = queue.popleft()
        self.count -= 1
        if queue:
            self._rotation.append(branch)
        else:
            del self._by_branch[branch]
        return waiter

    def discard(self, waiter: _Waiter) -> None:
        """Remove a cancelled waiter."""
        queue = self._by_branch[waiter.branch]
        queue.remove(waiter)
        self.count -= 1
        if not queue:
            del self._by_branch[waiter.branch]
            self._rotation.remove(waiter.branch)


class ConnectionSlots:
    """The slots for sub-requests at one backend server.

    A slot is a permit to use one connection. Urgent waiters have priority;
    within a priority the branches are served round robin, so that neither bulk
    work nor a busy branch delays an interactive request.

    Parameters
    ----------
    maximum : float
        Number of slots; may change at any time.

    Attributes
    ----------
    in_use : int
        Slots in use.
    maximum : float
        Number of slots; call :meth:`grant_free_slots` after a change.
    """

    __slots__ = ("_bulk", "_urgent", "in_use", "maximum")

    def __init__(self, maximum: float) -> None:
        self.maximum = maximum
        self.in_use = 0
        self._urgent = _BranchQueues()
        self._bulk = _BranchQueues()

    @property
    def waiting(self) -> int:
        """Number of sub-requests that wait for a slot."""
        return self._urgent.count + self._bulk.count

    async def acquire(self, branch: str, *, urgent: bool) -> None:
        """Acquire a slot, waiting in the queue if all are in use."""
        if self.in_use < self.maximum and not self.waiting:
            self.in_use += 1
            return
        queues = self._urgent if urgent else self._bulk
        waiter = _Waiter(branch)
        queues.add(waiter)
        # Slots may be free here if the maximum has been raised.
        self.grant_free_slots()
        try:
            await waiter.granted.wait()
        except trio.Cancelled:
            # A slot granted at the same time as the cancellation would leak
            # if it were not released.
            if waiter.granted.is_set():
                self.release()
            else:
                queues.discard(waiter)
            raise

    def release(self) -> None:
        """Release a slot and grant it to the next waiter, if any."""
        self.in_use -= 1
        self.grant_free_slots()

    def grant_free_slots(self) -> None:
        """Grant free slots to waiters."""
        while self.in_use < self.maximum and self.waiting:
            queues = self._urgent if self._urgent.count else self._bulk
            self.in_use += 1
            queues.pop().granted.set()
