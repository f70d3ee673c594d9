"""Trial: requests that wait for a server are sent to it long after it drains."""

from __future__ import annotations

import asyncio
import random
import sys
import time
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
    KeptConnection,
    Record,
    Server,
    configuration,
    new_request_id,
    route,
    run_case,
)

DRAIN_MS = 3000.0
CALM_S, DRAINING_S, AFTER_S = 10.0, 12.0, 3.0
CALLERS = 220
WORK_MS = 220.0
DEADLINE_MS = 8000


class WaitingRequests(Case):
    """A server drains while requests wait for it in the front processes."""

    zones = ("z0",)
    fronts_per_zone = 3

    def __init__(self, record: Record, folder: Path, *, is_disrupted: bool) -> None:
        super().__init__(record, folder, is_disrupted=is_disrupted)
        self.random = random.Random(58)
        self.servers = [
            Server("archive", "z0", record, slots=2, queue=8, work_ms=self.draw_work_ms)
            for _ in range(3)
        ]
        self.answers: list[tuple[str, Answer]] = []
        self.late: list[str] = []

    def draw_work_ms(self) -> float:
        """Return how long a server works on a request."""
        return self.random.uniform(0.5, 1.5) * WORK_MS

    def configuration(self) -> dict[str, Any]:
        """Return the operator's configuration."""
        return configuration(3, [route("archive", "archive", "idempotent")])

    async def play(self) -> None:
        """Let a server drain while many callers send."""
        callers = [asyncio.create_task(self.call(n)) for n in range(CALLERS)]
        await asyncio.sleep(CALM_S)
        server = self.servers[0]
        if self.is_disrupted:
            self.store.put("servers", server.server_id, server.entry("draining"))
            acknowledged_s = time.monotonic()
            self.record.add(f"the store has accepted that {server.server_id} drains")
            arrived_before = len(server.arrivals)
            await asyncio.sleep(DRAINING_S)
            for at_s, request_id in server.arrivals[arrived_before:]:
                age_ms = (at_s - acknowledged_s) * 1000.0
                if age_ms > DRAIN_MS:
                    self.late.append(f"{request_id} after {age_ms:.0f} ms")
            self.store.delete("servers", server.server_id)
        await asyncio.sleep(AFTER_S)
        self.is_over = True
        await asyncio.gather(*callers)

    async def call(self, number: int) -> None:
        """Send requests on kept connections, each to the front of its choice."""
        connection: KeptConnection | None = None
        await asyncio.sleep(number / CALLERS)
        while not self.is_over:
            if connection is None or connection.is_closed:
                front = self.random.choice(self.fronts)
                connection = KeptConnection(front.address)
            request_id = new_request_id()
            headers = {
                "Host": "tier.example",
                "X-Request-Id": request_id,
                "X-Deadline-Ms": str(DEADLINE_MS),
            }
            self.record.add(f"caller {number} sends {request_id} to {front.name}")
            answer = await connection.send(
                "GET", f"/archive/{number}", headers, timeout_s=DEADLINE_MS / 1000.0
            )
            self.answers.append((request_id, answer))
            self.record.add(f"caller {number} gets {answer.how} for {request_id}")
            await asyncio.sleep(float(answer.headers.get("retry-after", "0.05")))
        if connection is not None:
            connection.close()

    def judge(self) -> int:
        """Count the requests that reached the server too late."""
        hows = Counter(answer.how for _, answer in self.answers)
        self.record.add(f"answers: {dict(hows)}")
        self.record.add(f"DRAIN: {len(self.late)}: {self.late}")
        print(dict(hows), "DRAIN", len(self.late), self.late[-3:])
        if hows["200"] < 100:
            return COULD_NOT_RUN
        return BROKEN if self.late else HELD


if __name__ == "__main__":
    sys.exit(run_case(WaitingRequests, Path(__file__).with_suffix(".record.txt")))
