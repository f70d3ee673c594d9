"""Load process with open-loop arrivals, which a slow tier does not slow down.

``python -m benchmarks.load PLAN`` reads a plan and prints the result as JSON.
Latency is measured from when a request was due, to correct for coordinated
omission.
"""

from __future__ import annotations

import random
import sys
import time
import uuid
from pathlib import Path

import httpcore
import msgspec
import trio
from msgspec.structs import replace

from benchmarks.plan import LoadClass, LoadPlan, LoadResult, Observation, Target
from ibisfront.testing.http_client import HttpClient, HttpReply

__all__ = ["main"]

_LATE_START_MS = 50.0
_READINESS_POLL_S = 0.5
_READINESS_TIMEOUT_S = 0.4


class _Balancer:
    """Selects ready instances round-robin, like a load balancer."""

    def __init__(self, targets: tuple[Target, ...]) -> None:
        self._targets = targets
        self._ready = list(targets)
        self._position = 0
        self._client = HttpClient()

    def next(self) -> Target:
        """Return the instance for the next request."""
        ready = self._ready or list(self._targets)
        self._position += 1
        return ready[self._position % len(ready)]

    async def poll_readiness(self) -> None:
        """Poll the readiness of every instance until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:
                for target in self._targets:
                    nursery.start_soon(self._check, target)
            await trio.sleep(_READINESS_POLL_S)

    async def _check(self, target: Target) -> None:
        ready = await self._is_ready(target)
        if ready and target not in self._ready:
            self._ready.append(target)
        if not ready and target in self._ready:
            self._ready.remove(target)

    async def _is_ready(self, target: Target) -> bool:
        url = f"http://{target.caller_address}/readyz"
        with trio.move_on_after(_READINESS_TIMEOUT_S):
            try:
                return (await self._client.send("GET", url)).status == 200
            except (httpcore.NetworkError, httpcore.ProtocolError):
                return False
        return False


class _Answer(msgspec.Struct):
    snapshot: str
    coverage: _Coverage
    results: list[_Row]


class _Coverage(msgspec.Struct):
    answered: int
    total: int


class _Row(msgspec.Struct):
    service: str
    snapshot: str
    request: str


class _Problem(msgspec.Struct):
    code: str = ""
    ran: str = ""


class _Body(msgspec.Struct):
    marker: str
    text: str = ""


class _LoadRun:
    """One run of a plan."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._balancer = _Balancer(plan.targets)
        self._clients = {target.name: HttpClient() for target in plan.targets}
        self._observations: list[Observation] = []
        self._late_starts = 0
        self._start = 0.0

    async def run(self) -> LoadResult:
        """Send all requests and wait for the last answer."""
        self._start = trio.current_time()
        async with trio.open_nursery() as background:
            background.start_soon(self._balancer.poll_readiness)
            async with trio.open_nursery() as nursery:
                for number, load_class in enumerate(self._plan.classes):
                    generator = random.Random(self._plan.seed * 1000 + number)
                    nursery.start_soon(self._send_class, load_class, generator, nursery)
            background.cancel_scope.cancel()
        return LoadResult(tuple(self._observations), self._late_starts)

    async def _send_class(
        self,
        load_class: LoadClass,
        generator: random.Random,
        nursery: trio.Nursery,
    ) -> None:
        due_s = load_class.start_s
        end_s = load_class.end_s or self._plan.duration_s
        number = 0
        while True:
            due_s += generator.expovariate(load_class.rate_per_s)
            if due_s >= end_s:
                return
            await trio.sleep_until(self._start + due_s)
            number += 1
            name = f"{load_class.name}-{number}"
            key = _uuid7(generator) if load_class.kind == "perform" else ""
            for _ in range(load_class.copies):
                nursery.start_soon(self._send, load_class, due_s, name, key)

    async def _send(
        self, load_class: LoadClass, due_s: float, name: str, key: str
    ) -> None:
        if (trio.current_time() - self._start - due_s) * 1000 > _LATE_START_MS:
            self._late_starts += 1
        target = self._balancer.next()
        verb = "query" if load_class.kind == "search" else "perform"
        path = f"/v1/branches/{load_class.branch}/purposes/{load_class.purpose}/{verb}"
        # A request that its caller resends has the same body each time.
        text = load_class.name if load_class.marker else name
        headers = {"X-Deadline-Ms": str(load_class.deadline_ms), "X-Request-Id": name}
        if key:
            headers["Idempotency-Key"] = key
        try:
            reply = await self._clients[target.name].send(
                "POST",
                f"http://{target.caller_address}{path}",
                body=_Body(text, load_class.marker),
                headers=headers,
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            reply = HttpReply(0, b"", {"error": type(error).__name__})
        latency_ms = (trio.current_time() - self._start - due_s) * 1000
        sent = Observation(
            load_class.name,
            due_s * 1000,
            latency_ms,
            0,
            key=key,
            name=text,
            zone=target.zone,
        )
        self._observations.append(_completed_observation(sent, load_class, reply))


def _completed_observation(
    sent: Observation, load_class: LoadClass, reply: HttpReply
) -> Observation:
    if reply.status == 0:
        code = "connection:" + reply.headers["error"]
        return replace(sent, status=0, code=code, ran="maybe")
    if reply.status != 200:
        problem = reply.decode(_Problem)
        return replace(sent, status=reply.status, code=problem.code, ran=problem.ran)
    if load_class.kind == "perform":
        return replace(sent, status=200, answered=1, total=1)
    answer = reply.decode(_Answer)
    return replace(
        sent,
        status=200,
        answered=answer.coverage.answered,
        total=answer.coverage.total,
        wrong=_answer_error(answer, sent.name),
    )


def _answer_error(answer: _Answer, name: str) -> str:
    if any(row.request != name for row in answer.results):
        return "rows of another request"
    if any(row.snapshot != answer.snapshot for row in answer.results):
        return "rows of another snapshot"
    if len({row.service for row in answer.results}) != answer.coverage.answered:
        return "coverage does not match the rows"
    return ""


def _uuid7(generator: random.Random) -> str:
    milliseconds = int(time.time() * 1000)
    value = (milliseconds << 80) | generator.getrandbits(80)
    value = (value & ~(0xF << 76)) | (7 << 76)
    value = (value & ~(0x3 << 62)) | (2 << 62)
    return str(uuid.UUID(int=value))


def main() -> None:
    """Run the plan whose path is the first argument."""
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=LoadPlan)
    result = trio.run(_LoadRun(plan).run)
    sys.stdout.buffer.write(msgspec.json.encode(result) + b"\n")


if __name__ == "__main__":
    main()
