"""Case 2: an instance that stops takes requests to the last, and cuts them."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Answer,
    Case,
    Front,
    KeptConnection,
    Record,
    Server,
    configuration,
    new_request_id,
    route,
    run_case,
)

GRACE_S = 6.0
EXCUSED_S = 3.0
"""A request that was sent no later than this after the SIGTERM may be cut."""

CALM_S, GAP_S, ROUND_S = 6.0, 1.0, 14.0
ROUNDS = 2
STOPPED = 2
CALLERS, KEEPING = 40, 10
"""Callers, and how many of these keep their connections; the others open new ones."""

WORK_MS, LONGEST_MS = 220.0, 1300.0
DEADLINE_MS = 8000
_POLL_S = 1.0


class Sent:
    """One request, as its caller saw it."""

    def __init__(self, request_id: str, front: Front, sent_s: float) -> None:
        self.request_id = request_id
        self.front = front
        self.sent_s = sent_s
        self.ended_s = sent_s
        self.answer = Answer(None, "not answered")


class RollingRestart(Case):
    """Two of the three instances of a zone are restarted, one after the other."""

    zones = ("z0",)
    fronts_per_zone = 3

    def __init__(self, record: Record, folder: Path, *, is_disrupted: bool) -> None:
        super().__init__(record, folder, is_disrupted=is_disrupted)
        self.random = random.Random(58)
        self.servers = [
            Server("archive", "z0", record, slots=2, queue=8, work_ms=self.draw_work_ms)
            for _ in range(30)
        ]
        self.sent: list[Sent] = []
        self.stops: defaultdict[Front, list[float]] = defaultdict(list)
        self.in_rotation = set(self.fronts)

    def draw_work_ms(self) -> float:
        """Return how long a server works on a request."""
        return min(self.random.lognormvariate(0.0, 0.5) * WORK_MS, LONGEST_MS)

    def configuration(self) -> dict[str, Any]:
        """Return the operator's configuration."""
        return configuration(3, [route("archive", "archive", "idempotent")])

    async def play(self) -> None:
        """Restart instances while callers send."""
        polls = [asyncio.create_task(self.poll(front)) for front in self.fronts]
        callers = [asyncio.create_task(self.call(n)) for n in range(CALLERS)]
        await asyncio.sleep(CALM_S)
        for _ in range(ROUNDS):
            for front in self.fronts[:STOPPED]:
                if self.is_disrupted:
                    self.record.add(f"SIGTERM to {front.name}")
                    self.stops[front].append(time.monotonic())
                    front.send_signal(signal.SIGTERM)
                await asyncio.sleep(GAP_S)
            await asyncio.sleep(ROUND_S - STOPPED * GAP_S)
        self.is_over = True
        await asyncio.gather(*callers, *polls)

    async def poll(self, front: Front) -> None:
        """Keep an instance in rotation as the platform does."""
        misses = 0
        while not self.is_over:
            misses = 0 if await front.is_ready() else misses + 1
            if not misses and front not in self.in_rotation:
                self.record.add(f"{front.name} is in rotation")
                self.in_rotation.add(front)
            elif misses == 2 and front in self.in_rotation:
                self.record.add(f"{front.name} is out of rotation")
                self.in_rotation.remove(front)
            await asyncio.sleep(_POLL_S)

    def balance(self) -> Front:
        """Return the instance that gets a new connection.

        If fewer than half of the zone's instances are in rotation, all are used.
        """
        nodes = [front for front in self.fronts if front in self.in_rotation]
        if 2 * len(nodes) < len(self.fronts):
            nodes = self.fronts
        return self.random.choice(nodes)

    async def call(self, number: int) -> None:
        """Send requests, on kept connections or each on a new one."""
        connection: KeptConnection | None = None
        await asyncio.sleep(number / CALLERS)
        while not self.is_over:
            if connection is None or connection.is_closed:
                front = self.balance()
                connection = KeptConnection(front.address)
            sent = Sent(new_request_id(), front, time.monotonic())
            self.sent.append(sent)
            headers = {
                "Host": "tier.example",
                "X-Request-Id": sent.request_id,
                "X-Deadline-Ms": str(DEADLINE_MS),
            }
            self.record.add(f"caller {number} sends {sent.request_id} to {front.name}")
            sent.answer = await connection.send(
                "GET", f"/archive/{number}", headers, timeout_s=DEADLINE_MS / 1000.0
            )
            sent.ended_s = time.monotonic()
            if number >= KEEPING:
                connection.close()
            how = sent.answer.how
            self.record.add(f"caller {number} gets {how} for {sent.request_id}")
            await asyncio.sleep(0.05 if sent.answer.status == 200 else 0.2)
        if connection is not None:
            connection.close()

    def judge(self) -> int:
        """Count the requests that were passed on and cut, without an excuse."""
        runs: Counter[str] = Counter()
        for server in self.servers:
            runs.update(server.runs)
        lost = [
            text
            for item in self.sent
            if runs[item.request_id] and item.answer.how == "cut, no answer"
            for text in self.losses(item)
        ]
        hows = Counter(item.answer.how for item in self.sent)
        self.record.add(f"answers: {dict(hows)}; ends by themselves: {self.exits}")
        self.record.add(f"LOST: {len(lost)}: {lost}")
        print(dict(hows), "LOST", len(lost))
        if hows["200"] < 100 or self.exits:
            return COULD_NOT_RUN
        return BROKEN if lost else HELD

    def losses(self, item: Sent) -> list[str]:
        """Return a line for the SIGTERM around which a cut request counts as lost."""
        return [
            f"{item.request_id} at {item.front.name}, sent {item.sent_s - stop_s:.2f} s"
            f" and cut {item.ended_s - stop_s:.2f} s after its SIGTERM"
            for stop_s in self.stops[item.front]
            if item.sent_s - stop_s > EXCUSED_S
            and item.ended_s - stop_s <= GRACE_S + 1.0
        ]


if __name__ == "__main__":
    sys.exit(run_case(RollingRestart, Path(__file__).resolve().parent / "record.txt"))
