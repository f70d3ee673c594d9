"""Asks the owners of a workspace's limit for tokens, one after the other."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ibisfront.core.counters import CounterKind
from ibisfront.gateway.quotas.quota_lender import lease_ms
from ibisfront.gateway.quotas.quota_messages import QuotaAsk

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.gateway.quotas.quota_borrower import BorrowedToken, WorkspaceLoans
    from ibisfront.gateway.quotas.quota_lender import QuotaLender
    from ibisfront.gateway.quotas.quota_messages import QuotaGrant, QuotaMessages
    from ibisfront.gateway.quotas.quota_owners import OwnerGroup
    from ibisfront.gateway.settings import Bounds
    from ibisfront.gateway.state.configuration import Workspace

__all__ = ["QuotaAsking"]

_ASKING_SHARE = 0.25
"""Part of the time left after which no more owners are asked."""

_PATIENCE_SHARE = 0.0625
"""Part of the time left that is spent waiting for one owner."""

_MIN_PATIENCE_MS = 10.0
"""Shortest wait: two round trips between zones, if a connection must be opened."""

_NO_REPLY_MS = 500.0
"""How long an owner that has not answered is not asked again: longer than a process
without CPU time pauses."""


class QuotaAsking:
    """Asks owners for tokens.

    Parameters
    ----------
    own_name : str
        Name of this instance, which may be an owner itself.
    bounds : Bounds
        The deployment's bounds.
    lender : QuotaLender
        Lends what this instance owns.
    messages : QuotaMessages
        Sends messages to the other instances.
    clock : Clock
        The clock.
    counters : Counters
        Counts what is asked.
    """

    __slots__ = ("_bounds", "_clock", "_counters", "_lender", "_messages", "_own_name")

    def __init__(
        self,
        *,
        own_name: str,
        bounds: Bounds,
        lender: QuotaLender,
        messages: QuotaMessages,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._own_name = own_name
        self._bounds = bounds
        self._lender = lender
        self._messages = messages
        self._clock = clock
        self._counters = counters

    def set_bounds(self, bounds: Bounds) -> None:
        """Replace the bounds."""
        self._bounds = bounds

    async def ask_in_turn(
        self,
        workspace: Workspace,
        loans: WorkspaceLoans,
        owners: Sequence[OwnerGroup],
        deadline_at_ms: float,
    ) -> BorrowedToken | None:
        """Ask owners until one lends a token; return it.

        Parameters
        ----------
        workspace : Workspace
            The workspace.
        loans : WorkspaceLoans
            Its loans at this instance; more tokens than one are kept there.
        owners : sequence of OwnerGroup
            The owners to ask.
        deadline_at_ms : float
            When the caller stops waiting.
        """
        started_ms = self._clock.now_ms()
        stop_at_ms = started_ms + (deadline_at_ms - started_ms) * _ASKING_SHARE
        tried: set[str] = set()
        while (now_ms := self._clock.now_ms()) <= stop_at_ms:
            found = loans.next_owner(owners, tried, now_ms)
            if found is None:
                break
            owner, group = found
            tried.add(owner)
            loans.record_asked(owner, now_ms)
            if owner == self._own_name:
                self._counters.add(CounterKind.QUOTAS, "own")
                grant = self._lender.grant(workspace, 1, now_ms)
                self._record(loans, owner, group, grant, now_ms)
                token = loans.use_token(now_ms)
            elif self._messages.can_reach(owner):
                token = await self._ask(workspace, loans, found, deadline_at_ms)
            else:
                loans.record_no_reply(owner, now_ms + _NO_REPLY_MS)
                continue
            if token is not None:
                return token
        return None

    async def _ask(
        self,
        workspace: Workspace,
        loans: WorkspaceLoans,
        found: tuple[str, OwnerGroup],
        deadline_at_ms: float,
    ) -> BorrowedToken | None:
        """Ask one owner for tokens; return one of them."""
        owner, group = found
        sent_at_ms = self._clock.now_ms()
        ended = trio.Event()
        is_answered = is_waiting = True
        token: BorrowedToken | None = None

        def on_grant(grant: QuotaGrant | None) -> None:
            nonlocal is_answered, token
            is_answered = grant is not None
            if grant is not None:
                self._record(loans, owner, group, grant, sent_at_ms)
            if is_waiting:
                # Taken here, before a request that arrived later finds it.
                token = loans.use_token(self._clock.now_ms())
            ended.set()

        self._counters.add(CounterKind.QUOTAS, "asked")
        ask = QuotaAsk(workspace.name, loans.wanted(lease_ms(self._bounds)))
        stop_waiting = self._messages.send(owner, ask, on_grant)
        left_ms = deadline_at_ms - sent_at_ms
        patience_ms = max(left_ms * _PATIENCE_SHARE, _MIN_PATIENCE_MS)
        try:
            with self._clock.timeout_ms(patience_ms):
                await ended.wait()
        finally:
            is_waiting = False
            if not ended.is_set():
                stop_waiting()
        if not ended.is_set() or not is_answered:
            self._counters.add(CounterKind.QUOTAS, "no_reply")
            loans.record_no_reply(owner, self._clock.now_ms() + _NO_REPLY_MS)
        return token

    def _record(
        self,
        loans: WorkspaceLoans,
        owner: str,
        group: OwnerGroup,
        grant: QuotaGrant,
        sent_at_ms: float,
    ) -> None:
        now_ms = self._clock.now_ms()
        loans.record_grant(
            owner,
            grant,
            sent_at_ms=sent_at_ms,
            until_ms=sent_at_ms + lease_ms(self._bounds),
            now_ms=now_ms,
        )
        is_refused = grant.is_owner and not grant.tokens
        if is_refused and (grant.is_crowded or not group.is_near):
            loans.defer(group, now_ms + grant.due_ms)
