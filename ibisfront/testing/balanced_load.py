"""Steady load through a simple load balancer, for the demo."""

from __future__ import annotations

import itertools
from collections import Counter
from contextlib import suppress
from typing import TYPE_CHECKING

import httpcore
import msgspec
import trio

from ibisfront.core.clock import Clock
from ibisfront.core.latency import LatencyHistogram
from ibisfront.core.query import Answer

if TYPE_CHECKING:
    from ibisfront.testing.deployment import Deployment, InstanceProcess

__all__ = ["BalancedLoad", "LoadResult", "SearchKind"]

_PROBE_MS = 50.0
_OK = 200


class SearchKind(msgspec.Struct, frozen=True):
    """One kind of search that the load sends."""

    branch: str
    purpose: str
    body: dict[str, str]


class LoadResult(msgspec.Struct, frozen=True):
    """Outcomes of the requests of a load.

    Attributes
    ----------
    sent, whole : int
        Requests sent, and answers that cover every service.
    other_outcomes : dict of str to int
        Number of other outcomes, by error code, or ``partial``.
    lost : int
        Requests whose connection closed without an answer.
    p50_ms, p99_ms : float
        Latency percentiles of the answers.
    """

    sent: int
    whole: int
    other_outcomes: dict[str, int]
    lost: int
    p50_ms: float
    p99_ms: float


class _ErrorReply(msgspec.Struct):
    code: str


class BalancedLoad:
    """Sends searches round-robin to the ready instances.

    Parameters
    ----------
    deployment : Deployment
        The deployment whose instances are called.
    kinds : tuple of SearchKind
        The searches sent, in rotation.
    senders : int
        Number of concurrent requests.
    """

    def __init__(
        self, deployment: Deployment, kinds: tuple[SearchKind, ...], *, senders: int
    ) -> None:
        self._deployment = deployment
        self._kinds = itertools.cycle(kinds)
        self._senders = senders
        self._instances = list(deployment.instances)
        self._ready = list(self._instances)
        self._sequence = itertools.count()
        self._outcomes: Counter[str] = Counter()
        self._latency = LatencyHistogram()
        self._clock = Clock()
        self._ending = trio.Event()
        self._ended = trio.Event()

    async def run(self) -> None:
        """Send requests until :meth:`end` is called."""
        async with trio.open_nursery() as probes:
            probes.start_soon(self._probe)
            async with trio.open_nursery() as senders:
                for _ in range(self._senders):
                    senders.start_soon(self._send_until_ended)
            probes.cancel_scope.cancel()
        self._ended.set()

    async def wait_sent(self, count: int) -> None:
        """Wait until ``count`` more requests have completed."""
        target_total = self._outcomes.total() + count
        while self._outcomes.total() < target_total:
            await self._clock.sleep_ms(_PROBE_MS)

    async def end(self) -> LoadResult:
        """Stop sending and return the outcomes of the requests sent."""
        self._ending.set()
        await self._ended.wait()
        other_outcomes = dict(self._outcomes)
        return LoadResult(
            sent=self._outcomes.total(),
            whole=other_outcomes.pop("whole", 0),
            lost=other_outcomes.pop("lost", 0),
            other_outcomes=other_outcomes,
            p50_ms=self._latency.percentile_ms(50.0),
            p99_ms=self._latency.percentile_ms(99.0),
        )

    async def _send_until_ended(self) -> None:
        while not self._ending.is_set():
            instance = self._ready[next(self._sequence) % len(self._ready)]
            self._outcomes[await self._send(instance, next(self._kinds))] += 1

    async def _send(self, instance: InstanceProcess, kind: SearchKind) -> str:
        started_at_ms = self._clock.now_ms()
        try:
            reply = await self._deployment.search(
                instance, kind.branch, kind.purpose, kind.body
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return "lost"
        self._latency.record_ms(self._clock.now_ms() - started_at_ms)
        if reply.status != _OK:
            return reply.decode(_ErrorReply).code
        coverage = reply.decode(Answer).coverage
        return "whole" if coverage.answered == coverage.total else "partial"

    async def _probe(self) -> None:
        """Keep the set of ready instances current, as a load balancer does."""
        while True:
            ready = [item for item in self._instances if await self._is_ready(item)]
            self._ready = ready or self._ready
            await self._clock.sleep_ms(_PROBE_MS)

    async def _is_ready(self, instance: InstanceProcess) -> bool:
        with suppress(httpcore.NetworkError, httpcore.ProtocolError):
            url = instance.url("/readyz")
            return (await self._deployment.client.send("GET", url)).status == _OK
        return False
