"""Decision whether a workspace's rate limit allows one more request."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol, TypeAlias

import msgspec

if TYPE_CHECKING:
    from ibisfront.gateway.messages import CallerReply, InboundRequest
    from ibisfront.gateway.state.configuration import Workspace

__all__ = ["AnswerQuota", "QuotaRefusal", "QuotaTicket", "TakeQuota"]


class QuotaTicket(Protocol):
    """One request counted against its workspace's limit."""

    def give_back(self) -> None:
        """Return it: the request has not reached any server and never will."""


class QuotaRefusal(msgspec.Struct, frozen=True):
    """A request over its workspace's limit.

    Attributes
    ----------
    retry_after_ms : float
        When this caller's next request is due, counted from now.
    reason : str
        The cause, for the log and the counters.
    """

    retry_after_ms: float
    reason: str


TakeQuota: TypeAlias = (
    "Callable[[Workspace, float], Awaitable[QuotaTicket | QuotaRefusal]]"
)
"""Counts one request against a workspace's limit, given when its caller stops waiting,
in milliseconds of the tier's clock. Called once for each request of a caller, at the
instance that received it, before admission."""

AnswerQuota: TypeAlias = "Callable[[InboundRequest], CallerReply | None]"
"""Returns the reply to another instance's message about quotas; None if it is none."""
