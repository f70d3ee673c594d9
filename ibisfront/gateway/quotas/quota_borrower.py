"""What this instance has borrowed, and which owners it asks for more.

Load pattern: one workspace floods through an instance. An owner that has no token says
when one is due; until then requests are refused here, without a message.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

import msgspec

from ibisfront.gateway.quotas.quota_messages import QuotaReturn

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisfront.gateway.quotas.quota_messages import QuotaGrant
    from ibisfront.gateway.quotas.quota_owners import OwnerGroup
    from ibisfront.gateway.state.configuration import Workspace

__all__ = ["BorrowedToken", "QuotaBorrower", "WorkspaceLoans"]

_MAX_WANTED = 16
"""Most tokens asked for at once."""

_DEMAND_WEIGHT = 0.2
"""Weight of one gap between requests in their smoothed mean."""

_MAX_WORKSPACES = 4_096
"""Workspaces whose loans are kept; with more, the oldest are dropped."""


class BorrowedToken(msgspec.Struct, frozen=True):
    """One token borrowed from an owner.

    Attributes
    ----------
    owner : str
        The instance that lent it.
    returned : QuotaReturn
        Identifies it when it is returned.
    expires_at_ms : float
        Until when it may be used.
    borrowed_at_ms : float
        When it was asked for.
    """

    owner: str
    returned: QuotaReturn
    expires_at_ms: float
    borrowed_at_ms: float


class WorkspaceLoans:
    """The tokens borrowed for one workspace, and when its owners may be asked.

    Attributes
    ----------
    blocked_until_ms : float
        Until when no owner needs to be asked.
    """

    __slots__ = (
        "_asked_at_ms",
        "_gap_ms",
        "_granted_at_ms",
        "_last_request_ms",
        "_last_retry_ms",
        "_not_before_ms",
        "_silent",
        "_tokens",
        "blocked_until_ms",
    )

    def __init__(self) -> None:
        self._tokens: deque[BorrowedToken] = deque()
        self._not_before_ms: dict[str, float] = {}
        self._asked_at_ms: dict[str, float] = {}
        self._silent: set[str] = set()
        self._granted_at_ms = -math.inf
        self._gap_ms = math.inf
        self._last_request_ms = -math.inf
        self._last_retry_ms = -math.inf
        self.blocked_until_ms = -math.inf

    def count(self, now_ms: float) -> int:
        """Return how many tokens may be used."""
        return sum(token.expires_at_ms > now_ms for token in self._tokens)

    def record_request(self, now_ms: float) -> None:
        """Record that a request arrived."""
        gap_ms = now_ms - self._last_request_ms
        self._last_request_ms = now_ms
        if math.isinf(self._gap_ms):
            self._gap_ms = gap_ms
        else:
            self._gap_ms += (gap_ms - self._gap_ms) * _DEMAND_WEIGHT

    def use_token(self, now_ms: float) -> BorrowedToken | None:
        """Use the token that expires first, if there is one."""
        while self._tokens:
            token = self._tokens.popleft()
            if token.expires_at_ms > now_ms:
                return token
        return None

    def put_back(self, token: BorrowedToken) -> None:
        """Keep an unused token for the next request."""
        self._tokens.appendleft(token)

    def wanted(self, lease_ms: float) -> int:
        """Return how many tokens the requests within a lease are likely to need."""
        if self._gap_ms <= 0.0:
            return _MAX_WANTED
        return max(min(int(lease_ms / self._gap_ms / 2.0), _MAX_WANTED), 1)

    def next_owner(
        self, groups: Iterable[OwnerGroup], tried: set[str], now_ms: float
    ) -> tuple[str, OwnerGroup] | None:
        """Return the owner to ask next and its group; None if none may have a token.

        The nearest first; of these, the one that was asked longest ago, so that a busy
        instance does not use up one owner's tokens while others are full.
        """
        for group in groups:
            ready = [
                name
                for name in group.names
                if name not in tried and self._not_before_ms.get(name, 0.0) <= now_ms
            ]
            if ready:
                first = min(ready, key=lambda name: self._asked_at_ms.get(name, 0.0))
                return first, group
        return None

    def defer(self, group: OwnerGroup, until_ms: float) -> None:
        """Ask no owner of a group before a time.

        Load pattern: a flood through all instances. Their requests are spread evenly
        over the owners of a zone, so that none of these has a token when one has not.
        """
        for name in group.names:
            before_ms = self._not_before_ms.get(name, 0.0)
            self._not_before_ms[name] = max(before_ms, until_ms)

    def record_asked(self, owner: str, now_ms: float) -> None:
        """Record that an owner is asked."""
        self._asked_at_ms[owner] = now_ms

    def record_grant(
        self,
        owner: str,
        grant: QuotaGrant,
        *,
        sent_at_ms: float,
        until_ms: float,
        now_ms: float,
    ) -> None:
        """Record an owner's reply.

        Parameters
        ----------
        owner : str
            The owner.
        grant : QuotaGrant
            Its reply.
        sent_at_ms : float
            When it was asked; the owner counts the lease from later.
        until_ms : float
            Until when the tokens may be used.
        now_ms : float
            The current time.
        """
        self._silent.discard(owner)
        self._not_before_ms[owner] = now_ms + grant.due_ms
        if grant.tokens:
            self._granted_at_ms = now_ms
        for index in range(grant.tokens):
            returned = QuotaReturn(grant.process, grant.loan, index)
            self._tokens.append(BorrowedToken(owner, returned, until_ms, sent_at_ms))

    def record_no_reply(self, owner: str, until_ms: float) -> None:
        """Record that an owner did not answer in time; ask others until a time."""
        self._silent.add(owner)
        self._not_before_ms[owner] = until_ms

    def is_any_silent(self, owners: Iterable[str]) -> bool:
        """Return whether any of some owners has not answered when last asked."""
        return not self._silent.isdisjoint(owners)

    def granted_age_ms(self, now_ms: float) -> float | None:
        """Return how long ago a token was last borrowed; None if none was."""
        age_ms = now_ms - self._granted_at_ms
        return None if math.isinf(age_ms) else round(age_ms, 1)

    def block(self, owners: Iterable[str], now_ms: float) -> None:
        """Refuse requests until the first of some owners may be asked again."""
        times = [self._not_before_ms.get(name, now_ms) for name in owners]
        self.blocked_until_ms = min(times, default=now_ms)

    def unblock(self) -> None:
        """Ask the owners again, after a change of the limit or of the owners."""
        self._not_before_ms.clear()
        self._asked_at_ms.clear()
        self._silent.clear()
        self.blocked_until_ms = -math.inf
        self._last_retry_ms = -math.inf

    def retry_after_ms(
        self, interval_ms: float, window_ms: float, now_ms: float
    ) -> float:
        """Return when a refused caller's turn comes, counted from now.

        Callers return in the order in which they were refused.
        """
        first_ms = max(self.blocked_until_ms, now_ms)
        retry_ms = max(first_ms, self._last_retry_ms + interval_ms)
        retry_ms = min(retry_ms, first_ms + window_ms)
        self._last_retry_ms = retry_ms
        return retry_ms - now_ms


class QuotaBorrower:
    """The loans of all workspaces at this instance."""

    __slots__ = ("_loans",)

    def __init__(self) -> None:
        self._loans: dict[str, WorkspaceLoans] = {}

    def of(self, workspace: Workspace) -> WorkspaceLoans:
        """Return the loans of a workspace."""
        loans = self._loans.get(workspace.name)
        if loans is None:
            if len(self._loans) >= _MAX_WORKSPACES:
                del self._loans[next(iter(self._loans))]
            loans = self._loans[workspace.name] = WorkspaceLoans()
        return loans

    def retain(self, names: frozenset[str]) -> None:
        """Drop the loans of other workspaces."""
        for name in self._loans.keys() - names:
            del self._loans[name]

    def unblock(self, names: set[str] | None = None) -> None:
        """Ask the owners of some workspaces again, or of all."""
        for name, loans in self._loans.items():
            if names is None or name in names:
                loans.unblock()

    def held(self, now_ms: float) -> int:
        """Return how many tokens may be used."""
        return sum(loans.count(now_ms) for loans in self._loans.values())
