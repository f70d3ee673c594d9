"""Token bucket of one owner, which counts what it has lent."""

from __future__ import annotations

import itertools
import math
from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisfront.gateway.quotas.quota_parts import QuotaPart

__all__ = ["QuotaBucket"]


_MAX_TURN_LEASES = 2.0
"""Longest time that a refused borrower's turn lies after the next token, in leases.
When a flood ends, it is refused for no longer."""

_CROWD = 1.0
"""Borrowers that wait for their turns from which on there are several."""


class _Loan:
    """Tokens lent to one borrower until a time."""

    __slots__ = ("expires_at_ms", "returned", "tokens")

    def __init__(self, tokens: int, expires_at_ms: float) -> None:
        self.tokens = tokens
        self.expires_at_ms = expires_at_ms
        self.returned: set[int] = set()

    @property
    def outstanding(self) -> int:
        """Tokens that may still be used."""
        return self.tokens - len(self.returned)


class QuotaBucket:
    """Grants the requests of one workspace that one part of its limit allows.

    Over any window it grants at most its rate over the window and its capacity. Lent
    tokens count against the capacity until their lease has ended, since they may be
    used, or returned, at any time before.

    A predecessor of this process may have granted as much just before its start. The
    bucket is therefore started empty but for the start tokens. One window after the
    start nothing that a predecessor granted counts any longer, and only what this
    process has granted limits it.

    Parameters
    ----------
    part : QuotaPart
        The part of the limit.
    window_ms : float
        The window over which requests are counted.
    lease_ms : float
        How long a lent token may be used.
    since_ms : float
        When this process became its owner; minus infinity if it had no predecessor.
    now_ms : float
        The current time.

    Attributes
    ----------
    last_asked_at_ms : float
        When it was last asked.
    """

    __slots__ = (
        "_full_at_ms",
        "_lease_ms",
        "_lent",
        "_loan_ids",
        "_loans",
        "_next_slot_ms",
        "_part",
        "_refilled_at_ms",
        "_start_tokens",
        "_tokens",
        "last_asked_at_ms",
    )

    def __init__(
        self,
        part: QuotaPart,
        *,
        window_ms: float,
        lease_ms: float,
        since_ms: float,
        now_ms: float,
    ) -> None:
        self._part = part
        self._lease_ms = lease_ms
        self._full_at_ms = since_ms + window_ms
        self._tokens = part.capacity
        self._start_tokens = math.inf
        if now_ms < self._full_at_ms:
            saved = max(now_ms - since_ms, 0.0) / 1_000.0 * part.rate_per_s
            self._start_tokens = part.start_tokens + saved
        self._refilled_at_ms = max(now_ms, since_ms)
        self._lent = 0
        self._loans: OrderedDict[int, _Loan] = OrderedDict()
        self._loan_ids = itertools.count(1)
        self._next_slot_ms = -math.inf
        self.last_asked_at_ms = now_ms

    @property
    def part(self) -> QuotaPart:
        """The part of the limit that it grants."""
        return self._part

    @property
    def lent(self) -> int:
        """Tokens lent and not returned, as of the last call."""
        return self._lent

    def set_part(self, part: QuotaPart, now_ms: float) -> None:
        """Apply a changed limit: a higher one at once, a lower one to what is saved."""
        self._refill(now_ms)
        raised = max(part.capacity - self._part.capacity, 0.0)
        self._part = part
        self._tokens = min(self._tokens + raised, part.capacity - self._lent)
        self._start_tokens += raised

    def take(self, wanted: int, now_ms: float) -> tuple[int, int]:
        """Lend tokens; return the loan's id and how many, at most ``wanted``.

        More than one are lent only from the half that is left over, so that a
        borrower with many requests leaves some for the next one.
        """
        self._refill(now_ms)
        self.last_asked_at_ms = now_ms
        usable = min(self._tokens, self._start_tokens)
        if usable < 1.0:
            return 0, 0
        granted = max(min(wanted, int(usable / 2.0)), 1)
        self._tokens -= granted
        self._start_tokens -= granted
        loan_id = next(self._loan_ids)
        self._loans[loan_id] = _Loan(granted, now_ms + self._lease_ms)
        self._lent += granted
        return loan_id, granted

    def give_back(self, loan_id: int, index: int, now_ms: float) -> bool:
        """Take an unused token back; return False if it is too late, or repeated."""
        self._refill(now_ms)
        loan = self._loans.get(loan_id)
        if loan is None or not 0 <= index < loan.tokens or index in loan.returned:
            return False
        loan.returned.add(index)
        self._lent -= 1
        self._tokens += 1.0
        self._start_tokens += 1.0
        return True

    def due_ms(self, now_ms: float) -> float:
        """Return how long it takes until it has a token; 0 if it has one."""
        self._refill(now_ms)
        wait_ms = self._wait_ms(self._tokens)
        if self._part.capacity - self._lent < 1.0 and self._loans:
            # A full bucket gains nothing before a loan has ended.
            first = next(iter(self._loans.values()))
            wait_ms = max(wait_ms, first.expires_at_ms - now_ms)
        if self._start_tokens < 1.0:
            lean_ms = min(self._wait_ms(self._start_tokens), self._full_at_ms - now_ms)
            wait_ms = max(wait_ms, lean_ms)
        return wait_ms

    def next_turn_ms(self, now_ms: float) -> tuple[float, bool]:
        """Return when the next refused borrower should ask again, counted from now.

        Each gets the turn after the one before it, as tokens come due, so that they
        do not all ask for the same token.

        Returns
        -------
        float
            The time until its turn.
        bool
            Whether several borrowers have turns before it.
        """
        due_at_ms = now_ms + self.due_ms(now_ms)
        interval_ms = 1_000.0 / self._part.rate_per_s
        waiting = (self._next_slot_ms - due_at_ms) / interval_ms
        latest_ms = due_at_ms + _MAX_TURN_LEASES * self._lease_ms
        turn_ms = min(max(due_at_ms, self._next_slot_ms), latest_ms)
        self._next_slot_ms = turn_ms + interval_ms
        return turn_ms - now_ms, waiting >= _CROWD

    def is_idle(self, now_ms: float) -> bool:
        """Return whether it is as a new one would be, and may be dropped."""
        self._refill(now_ms)
        return (
            now_ms >= self._full_at_ms
            and not self._loans
            and self._tokens >= self._part.capacity
        )

    def _wait_ms(self, tokens: float) -> float:
        return max(1.0 - tokens, 0.0) / self._part.rate_per_s * 1_000.0

    def _refill(self, now_ms: float) -> None:
        """Add what has come due; loans that have ended make room from then on."""
        while self._loans:
            loan_id, loan = next(iter(self._loans.items()))
            if loan.expires_at_ms > now_ms:
                break
            self._accrue(loan.expires_at_ms)
            del self._loans[loan_id]
            self._lent -= loan.outstanding
        self._accrue(now_ms)
        if now_ms >= self._full_at_ms:
            self._start_tokens = math.inf

    def _accrue(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._refilled_at_ms
        if elapsed_ms <= 0.0:
            return
        self._refilled_at_ms = now_ms
        gained = elapsed_ms / 1_000.0 * self._part.rate_per_s
        limit = self._part.capacity - self._lent
        self._tokens = min(self._tokens + gained, limit)
        self._start_tokens += gained
