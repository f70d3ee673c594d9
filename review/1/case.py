"""Case 1: a late second copy of a rejection is taken for the answer to a repeat."""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Answer,
    Case,
    Record,
    Server,
    configuration,
    new_request_id,
    route,
    run_case,
    send_request,
)

SHARE, FRACTION, LENGTH_S, PAUSE_S = 0.5, 0.04, 5.0, 2.0
"""The disruption: the share of the servers of all copies of the service, the share of
their answers that they send once more, for how long, and the time in between."""

DAY_S = 98.0
COPIES = ("orders", "orders-2")
"""The copies of the service, with one server each."""

CALLERS = 14
"""Callers of each copy."""

WORK_MS = 30.0
DEADLINE_MS = 2000


class RepeatedRejections(Case):
    """Servers that are full at times send some of their answers a second time."""

    zones = ("z0", "z1", "z2")
    fronts_per_zone = 3

    def __init__(self, record: Record, folder: Path, *, is_disrupted: bool) -> None:
        super().__init__(record, folder, is_disrupted=is_disrupted)
        self.random = random.Random(58)
        self.servers = [
            Server(name, zone, record, slots=2, queue=8, work_ms=self.draw_work_ms)
            for name, zone in zip(COPIES, self.zones, strict=False)
        ]
        self.answers: dict[str, Answer] = {}

    def draw_work_ms(self) -> float:
        """Return how long a server works on a request."""
        return self.random.uniform(0.5, 1.5) * WORK_MS

    def configuration(self) -> dict[str, Any]:
        """Return the operator's configuration."""
        return configuration(
            3, [route(name, name, "non_idempotent") for name in COPIES]
        )

    async def play(self) -> None:
        """Let callers send orders, and some servers repeat some of their answers."""
        callers = [
            asyncio.create_task(self.call(number, name))
            for name in COPIES
            for number in range(CALLERS)
        ]
        for _ in range(int(DAY_S / (LENGTH_S + PAUSE_S))):
            await asyncio.sleep(PAUSE_S)
            chosen = self.random.sample(self.servers, int(SHARE * len(self.servers)))
            for server in chosen if self.is_disrupted else []:
                server.second_answer = self.draw_second_answer
            await asyncio.sleep(LENGTH_S)
            for server in chosen:
                server.second_answer = lambda _: False
        self.is_over = True
        await asyncio.gather(*callers)
        await asyncio.sleep(1.0)

    def draw_second_answer(self, status: int) -> bool:
        """Return whether an answer is sent once more."""
        return self.random.random() < FRACTION

    async def call(self, number: int, name: str) -> None:
        """Send one order after the other, each with an id of its own."""
        await asyncio.sleep(number / CALLERS)
        while not self.is_over:
            front = self.random.choice(self.fronts)
            request_id = new_request_id()
            headers = {
                "Host": "tier.example",
                "X-Request-Id": request_id,
                "X-Deadline-Ms": str(DEADLINE_MS),
            }
            self.record.add(f"caller {number} sends {request_id} to {front.name}")
            answer = await send_request(
                front.address,
                "POST",
                f"/{name}/{number}",
                headers,
                b"one envelope",
                timeout_s=DEADLINE_MS / 1000.0,
            )
            self.answers[request_id] = answer
            self.record.add(f"caller {number} gets {answer.how} for {request_id}")
            await asyncio.sleep(float(answer.headers.get("retry-after", "0.05")))

    def judge(self) -> int:
        """Count the orders that ran twice, and those that were refused and ran."""
        runs: Counter[str] = Counter()
        for server in self.servers:
            runs.update(server.runs)
        rejected = sum(server.rejected for server in self.servers)
        twice = [request_id for request_id, count in runs.items() if count > 1]
        refused = [
            request_id
            for request_id, answer in self.answers.items()
            if answer.status in (408, 421, 429, 503) and runs[request_id]
        ]
        hows = Counter(answer.how for answer in self.answers.values())
        self.record.add(f"answers: {dict(hows)}; rejected: {rejected}")
        self.record.add(f"front processes that ended: {self.exits}")
        self.record.add(f"TWICE: {len(twice)}: {twice}")
        self.record.add(f"REFUSED, but run: {len(refused)}: {refused}")
        print(dict(hows), "TWICE", len(twice), "REFUSED", len(refused))
        if hows["200"] < 100:
            return COULD_NOT_RUN
        return BROKEN if twice else HELD


if __name__ == "__main__":
    path = Path(__file__).resolve().parent / "record.txt"
    sys.exit(run_case(RepeatedRejections, path))
