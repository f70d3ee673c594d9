"""Case 3: an entry of another writer ends every front process."""

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
    KeptConnection,
    Record,
    Server,
    configuration,
    new_request_id,
    route,
    run_case,
)

CALM_S, ENTRY_S, RECOVERY_S = 4.0, 10.0, 10.0
CALLERS = 18
WORK_MS = 150.0
DEADLINE_MS = 2000
LEVELS = 1500
ALLOWED_LOSSES = 3


def foreign_entry(slots: str, address: str) -> str:
    """Return an entry as another writer spells it."""
    return (
        f'{{"service": "archive", "addr": "{address}", "zone": "z0", "version": "1",'
        f' "slots": {slots}, "state": "ready", "warmupLeftMs": 0, "seq": 1}}'
    )


ENTRIES = {
    "slots of another type": foreign_entry("[" * LEVELS + "]" * LEVELS, "127.0.0.1:9"),
    "an address that is none": foreign_entry("2", "127.0.0.1:80443"),
}
"""The entries, one after the other, each after a recovery."""


class ForeignEntry(Case):
    """Another writer puts one entry among those of the servers."""

    zones = ("z0", "z1", "z2")

    def __init__(self, record: Record, folder: Path, *, is_disrupted: bool) -> None:
        super().__init__(record, folder, is_disrupted=is_disrupted)
        self.random = random.Random(58)
        self.servers = [
            Server("archive", zone, record, slots=4, queue=8, work_ms=lambda: WORK_MS)
            for zone in self.zones
        ]
        self.answers: list[tuple[str, str, int, Answer]] = []
        self.phase = "calm"

    def configuration(self) -> dict[str, Any]:
        """Return the operator's configuration."""
        return configuration(3, [route("archive", "archive", "idempotent")])

    async def play(self) -> None:
        """Put entries among the others for some seconds, while callers send."""
        callers = [asyncio.create_task(self.call(n)) for n in range(CALLERS)]
        await asyncio.sleep(CALM_S)
        for name, entry in ENTRIES.items():
            self.phase = name
            if self.is_disrupted:
                self.record.add(f"another writer puts an entry: {name}")
                self.store.put_as_written("servers", "another-writer", entry)
            await asyncio.sleep(ENTRY_S)
            self.record.add("the entry is removed")
            self.store.delete("servers", "another-writer")
            await asyncio.sleep(RECOVERY_S)
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
            answered_before = connection.answered
            self.record.add(
                f"caller {number} sends {request_id} to {front.name},"
                f" on a connection with {answered_before} answers"
            )
            answer = await connection.send(
                "GET", f"/archive/{number}", headers, timeout_s=DEADLINE_MS / 1000.0
            )
            self.answers.append((self.phase, request_id, answered_before, answer))
            self.record.add(f"caller {number} gets {answer.how} for {request_id}")
            await asyncio.sleep(0.05 if answer.status == 200 else 0.3)
        if connection is not None:
            connection.close()

    def judge(self) -> int:
        """Count the requests that were passed on and lost with a kept connection."""
        runs: Counter[str] = Counter()
        for server in self.servers:
            runs.update(server.runs)
        losses: dict[str, list[str]] = {name: [] for name in ("calm", *ENTRIES)}
        for phase, request_id, answered_before, answer in self.answers:
            is_passed_on = answered_before > 0 and runs[request_id] > 0
            if is_passed_on and answer.how == "cut, no answer":
                losses[phase].append(request_id)
        hows = Counter(answer.how for *_, answer in self.answers)
        self.record.add(f"answers: {dict(hows)}")
        self.record.add(f"front processes that ended: {self.exits}")
        for phase, lost in losses.items():
            self.record.add(f"LOST with {phase}: {len(lost)}: {lost}")
            print(f"LOST with {phase}: {len(lost)}")
        print(dict(hows), "ends", len(self.exits))
        if hows["200"] < 100:
            return COULD_NOT_RUN
        is_broken = any(len(lost) > ALLOWED_LOSSES for lost in losses.values())
        return BROKEN if is_broken else HELD


if __name__ == "__main__":
    sys.exit(run_case(ForeignEntry, Path(__file__).resolve().parent / "record.txt"))
