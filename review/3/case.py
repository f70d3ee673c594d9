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

CALM_S, ENTRY_S, RECOVERY_S = 6.0, 10.0, 6.0
CALLERS = 18
WORK_MS = 150.0
DEADLINE_MS = 2000
LEVELS = 1500
ALLOWED_LOSSES = 3


def foreign_entry() -> str:
    """Return an entry whose ``slots`` is a list, of lists, in place of a number."""
    slots = "[" * LEVELS + "]" * LEVELS
    return (
        '{"service": "archive", "addr": "127.0.0.1:9", "zone": "z0", "version": "1",'
        f' "slots": {slots}, "state": "ready", "warmupLeftMs": 0, "seq": 1}}'
    )


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
        self.answers: list[tuple[str, int, Answer]] = []

    def configuration(self) -> dict[str, Any]:
        """Return the operator's configuration."""
        return configuration(3, [route("archive", "archive", "idempotent")])

    async def play(self) -> None:
        """Put the entry among the others for some seconds, while callers send."""
        callers = [asyncio.create_task(self.call(n)) for n in range(CALLERS)]
        await asyncio.sleep(CALM_S)
        if self.is_disrupted:
            self.record.add("another writer puts an entry with slots of another type")
            self.store.put_as_written("servers", "another-writer", foreign_entry())
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
            self.answers.append((request_id, answered_before, answer))
            self.record.add(f"caller {number} gets {answer.how} for {request_id}")
            await asyncio.sleep(0.05 if answer.status == 200 else 0.3)
        if connection is not None:
            connection.close()

    def judge(self) -> int:
        """Count the requests that were passed on and lost with a kept connection."""
        runs: Counter[str] = Counter()
        for server in self.servers:
            runs.update(server.runs)
        lost = [
            request_id
            for request_id, answered_before, answer in self.answers
            if answered_before and runs[request_id] and answer.how == "cut, no answer"
        ]
        hows = Counter(answer.how for *_, answer in self.answers)
        self.record.add(f"answers: {dict(hows)}")
        self.record.add(f"front processes that ended: {self.exits}")
        self.record.add(f"LOST: {len(lost)}: {lost}")
        print(dict(hows), "ends", len(self.exits), "LOST", len(lost))
        if hows["200"] < 100:
            return COULD_NOT_RUN
        return BROKEN if len(lost) > ALLOWED_LOSSES else HELD


if __name__ == "__main__":
    sys.exit(run_case(ForeignEntry, Path(__file__).resolve().parent / "record.txt"))
