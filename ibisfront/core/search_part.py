"""One service's part of one search, while it runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from ibisfront.core.backend_pool import BackendPool
    from ibisfront.core.coverage import MissingReason
    from ibisfront.core.replies import SearchRows
    from ibisfront.core.service_state import ServiceState

__all__ = ["Attempt", "SearchPart"]


class Attempt:
    """One task that tries to get a part, one server after the other."""

    __slots__ = ("pool", "scope", "sent_at_ms")

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        self.pool: BackendPool | None = None
        self.sent_at_ms = 0.0


class SearchPart:
    """One service's part of one search.

    Attributes
    ----------
    service : str
        The service.
    state : ServiceState
        What was measured of it.
    attempts : list of Attempt
        The tasks that try now: the first one, and hedged ones.
    tried : tuple of BackendPool
        The pools tried so far.
    requests : int
        How many sub-requests were sent for it.
    hedged : bool
        Whether a hedged request was considered already.
    freed : bool
        Whether it was asked again because its server or connection was given
        up.
    rows : SearchRows or None
        Its answer.
    missing : MissingReason or None
        Why it has none, once that is settled.
    """

    __slots__ = (
        "attempts",
        "freed",
        "hedged",
        "missing",
        "requests",
        "rows",
        "service",
        "state",
        "tried",
    )

    def __init__(self, service: str, state: ServiceState) -> None:
        self.service = service
        self.state = state
        self.attempts: list[Attempt] = []
        self.tried: tuple[BackendPool, ...] = ()
        self.requests = 0
        self.hedged = False
        self.freed = False
        self.rows: SearchRows | None = None
        self.missing: MissingReason | None = None

    @property
    def is_settled(self) -> bool:
        """Whether it is answered or missing for good."""
        return self.rows is not None or self.missing is not None

    @property
    def is_stranded(self) -> bool:
        """Whether every try waits at a server or connection that was given up."""
        return bool(self.attempts) and all(
            attempt.pool is not None and attempt.pool.may_resend(attempt.sent_at_ms)
            for attempt in self.attempts
        )

    def is_unreachable(self, now_ms: float) -> bool:
        """Return whether every try has waited long enough at a silent server."""
        if not self.attempts:
            return False
        first_sent_at_ms = min(attempt.sent_at_ms for attempt in self.attempts)
        waited_ms = now_ms - first_sent_at_ms
        return all(
            attempt.pool is not None
            and attempt.pool.is_silent_since(attempt.sent_at_ms)
            and waited_ms >= attempt.pool.silence_bound_ms
            for attempt in self.attempts
        )
