"""Trial: a small ``maxBodyBytes`` keeps fronts from telling each other of crashes.

One request crashes the backends that run it. Its copies come one after the other, to
one front after the other. With ``TROUBLE=0`` the limit is that of the pages' example.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins_2 as si

FOLDER = Path(__file__).resolve().parent
FRONTS = 6
BACK_S = 2.0
LENGTH_S = 40.0
GAP_S = 1.5
CONTACT_S = si.BOUNDS["contactMs"] / 1000.0
MAX_RETRIES = 3


class World:
    """The backends, and when each copy crashed the first of them.

    Parameters
    ----------
    world : si.World
        The parts of the case.
    """

    def __init__(self, world: si.World) -> None:
        self.world = world
        self.crashes_s: list[float] = []
        self.reached_s: dict[str, float] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def handle(self, call: si.Call) -> bytes | None:
        """Run a request, or crash by it."""
        call.begin()
        if "poison" not in call.request.start[1]:
            await asyncio.sleep(0.003)
            return call.success()
        now_s = time.monotonic()
        self.crashes_s.append(now_s)
        self.reached_s.setdefault(call.request_id, now_s)
        call.backend.crash()
        task = asyncio.create_task(self.restart(call.backend))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return None

    async def restart(self, backend: si.Backend) -> None:
        """Start a backend again under its id."""
        await asyncio.sleep(BACK_S)
        backend.born_ms = int(time.time() * 1000)
        await backend.start()
        self.world.store.put("servers", backend.server_id, backend.entry())

    @property
    def late(self) -> list[str]:
        """The copies that reached a backend after the bound."""
        due_s = sorted(self.crashes_s)[2] + CONTACT_S
        return [name for name, at_s in self.reached_s.items() if at_s > due_s]


async def use(front: si.Front, until_s: float) -> None:
    """Send sound requests."""
    client = si.Client(front.address, si.Record(Path("/dev/null")))
    number = 0
    while time.monotonic() < until_s:
        number += 1
        await client.request(f"{front.name}-{number}", f"/photo/{number}")
        await asyncio.sleep(0.1)
    client.close()


async def repeat(world: si.World, until_s: float) -> None:
    """Send copies of the request that crashes backends."""
    number = 0
    while time.monotonic() < until_s:
        front = world.fronts[number % FRONTS]
        number += 1
        client = si.Client(front.address, world.record)
        await client.request(f"copy-{number}", "/photo/poison", deadline_ms=1_500)
        client.close()
        await asyncio.sleep(GAP_S)


async def case() -> bool:
    """Run the trial; return whether the rule held."""
    async with si.running_world(FOLDER, FRONTS) as world:
        parts = World(world)
        for zone in ("east", "middle", "west"):
            for number in range(3):
                name = f"i-{zone}-{number}"
                backend = si.Backend(name, "media", zone, world.record, parts.handle)
                await backend.start()
                world.store.put("servers", name, backend.entry())
        routes = [si.route("r-photo", "/photo/", service="media")]
        content = si.configuration(1, routes, ["media"])
        if world.has_trouble:
            content["limits"]["maxBodyBytes"] = 100
        world.store.put("config", "main", content)
        await si.start_fronts(world)
        await asyncio.sleep(5.0)
        until_s = time.monotonic() + LENGTH_S
        users = [use(front, until_s) for front in world.fronts]
        await asyncio.gather(repeat(world, until_s), *users)
        summary = f"{len(parts.late)} copies too late; allowed: {MAX_RETRIES}"
        world.record.add(summary)
        print(summary, f"({len(parts.crashes_s)} crashes)")
        return len(parts.late) <= MAX_RETRIES


if __name__ == "__main__":
    si.main(case)
