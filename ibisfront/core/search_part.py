"""The state of one service's part of a running search."""

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
    """One task that queries the servers of a service in sequence."""

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
        The measured state of the service.
    attempts : list of Attempt
        The running attempts: the primary one, hedged requests and retries.
    tried : tuple of BackendPool
        The pools tried so far.
    sub_request_count : int
        Number of sub-requests sent.
    hedge_considered : bool
        Whether a hedged request has been sent or ruled out.
    stall_retry_considered : bool
        Whether a retry of a stalled part has been sent or withheld.
    rows : SearchRows or None
        The answer of the service.
    missing : MissingReason or None
        Why the service is missing from the answer.
    """

    __slots__ = (
        "attempts",
        "hedge_considered",
        "missing",
        "rows",
        "service",
        "stall_retry_considered",
        "state",
        "sub_request_count",
        "tried",
    )

    def __init__(self, service: str, state: ServiceState) -> None:
        self.service = service
        self.state = state
        self.attempts: list[Attempt] = []
        self.tried: tuple[BackendPool, ...] = ()
        self.sub_request_count = 0
        self.hedge_considered = False
        self.stall_retry_considered = False
        self.rows: SearchRows | None = None
        self.missing: MissingReason | None = None

    @property
    def is_settled(self) -> bool:
        """Whether the part is answered or marked as missing."""
        return self.rows is not None or self.missing is not None

    @property
    def is_stalled(self) -> bool:
        """Whether all attempts wait at a failed server or retired connection."""
        return bool(self.attempts) and all(
            attempt.pool is not None and attempt.pool.may_resend(attempt.sent_at_ms)
            for attempt in self.attempts
        )

    def is_unreachable(self, now_ms: float) -> bool:
        """Return whether all attempts exceed the silence bound at silent servers."""
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
