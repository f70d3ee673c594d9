"""Forwarding of a request to one backend server of a service."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from ibisfront.gateway.queries.service_call import ServiceCall

if TYPE_CHECKING:
    from ibisfront.gateway.queries.service_call import CallContext

__all__ = ["ForwardRun"]


class ForwardRun:
    """One forwarded request while it runs; used once.

    Parameters
    ----------
    service : str
        The service that handles it.
    context : CallContext
        The context of its sub-requests.
    hedge_at_ms : float
        When an idempotent request is hedged.
    give_up_at_ms : float
        When it is abandoned.

    Attributes
    ----------
    call : ServiceCall
        Its sub-requests.
    """

    __slots__ = (
        "_context",
        "_give_up_at_ms",
        "_hedge_at_ms",
        "_retry_at_ms",
        "_withdraw_unsent_at_ms",
        "_woken",
        "call",
    )

    def __init__(
        self,
        service: str,
        context: CallContext,
        *,
        hedge_at_ms: float,
        give_up_at_ms: float,
    ) -> None:
        self._context = context
        self._hedge_at_ms = hedge_at_ms if context.is_idempotent else math.inf
        self._give_up_at_ms = give_up_at_ms
        self._retry_at_ms = -math.inf
        self._withdraw_unsent_at_ms = math.inf
        self._woken = trio.Event()
        self.call = ServiceCall(service, context, self._on_call_change)

    async def run(self) -> None:
        """Run the request until it is answered, fails or times out."""
        call = self.call
        clock = self._context.clock
        started_ms = clock.now_ms()
        if not call.start(started_ms):
            return
        self._withdraw_unsent_at_ms = started_ms + self._context.baseline.median_ms
        while not call.is_settled:
            now_ms = clock.now_ms()
            if now_ms >= self._give_up_at_ms or not self._run_due_actions(now_ms):
                return
            with clock.timeout_ms(self._next_action_at_ms() - now_ms):
                await self._woken.wait()
            if self._woken.is_set():
                self._woken = trio.Event()

    def _run_due_actions(self, now_ms: float) -> bool:
        """Run the actions that are due; return False if no reply can arrive."""
        call = self.call
        if now_ms >= self._withdraw_unsent_at_ms:
            self._withdraw_unsent_at_ms = math.inf
            call.withdraw_unsent(now_ms)
        if not call.is_open:
            return self._retry(now_ms)
        if now_ms >= self._hedge_at_ms:
            self._hedge_at_ms = math.inf
            call.send_extra_attempt()
        return True

    def _next_action_at_ms(self) -> float:
        if not self.call.is_open:
            return self._retry_at_ms
        return min(self._give_up_at_ms, self._hedge_at_ms, self._withdraw_unsent_at_ms)

    def end(self, *, at_once: bool) -> None:
        """Stop waiting for replies."""
        self.call.end(at_once=at_once)

    def _retry(self, now_ms: float) -> bool:
        """Retry now or schedule a retry; return False if none can succeed.

        Servers that reject requests or are in backoff are often available again
        soon. A request that ended then would fail with most of its deadline left.
        """
        if now_ms < self._retry_at_ms:
            return True
        if not self._may_retry():
            return False
        if self.call.send_extra_attempt():
            return True
        self._retry_at_ms = self.call.next_retry_at_ms(now_ms)
        latest_ms = self._give_up_at_ms - self._context.baseline.median_ms
        return self._retry_at_ms <= latest_ms

    def _may_retry(self) -> bool:
        """Return whether the request is idempotent or has not run."""
        return self._context.is_idempotent or not self.call.may_have_run

    def _on_call_change(self, call: ServiceCall) -> None:
        self._woken.set()
