"""Trial: a sound request of another caller clears one that crashes servers."""

from __future__ import annotations

import asyncio
import random
import secrets
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
    Record,
    Store,
    configuration,
    encode_answer,
    new_request_id,
    read_message,
    run_case,
    send_request,
)

CONTACT_MS = 4000.0
ALLOWED_COPIES = 3
SERVICES = tuple(f"part-{number}" for number in range(6))
BACK_AFTER_S = 2.5
LENGTH_S = 45.0
FATAL, SOUND = "key-fatal", "key-sound"


class CrashingServer:
    """A server that one workspace's request for ``/search/same`` crashes.

    Parameters
    ----------
    service, zone : str
        Its service and its zone.
    arrivals : dict of str to float
        When each copy of that request first reached any server.
    crashes : list of float
        When servers crashed.
    record : Record
        Gets a line for each crash.
    """

    def __init__(
        self,
        service: str,
        zone: str,
        *,
        arrivals: dict[str, float],
        crashes: list[float],
        record: Record,
    ) -> None:
        self.server_id = ""
        self.address = "127.0.0.1:0"
        self._service = service
        self._zone = zone
        self._arrivals = arrivals
        self._crashes = crashes
        self._record = record
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._restart: asyncio.Task[None] | None = None

    async def start(self, store: Store) -> None:
        """Listen, at the address of before if there was one, and register."""
        host, _, port = self.address.rpartition(":")
        self._listener = await asyncio.start_server(self._run, host, int(port))
        host, port = self._listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.server_id = f"i-{secrets.token_hex(4)}"
        self._store = store
        entry = {
            "service": self._service,
            "addr": self.address,
            "zone": self._zone,
            "version": "1",
            "slots": 4,
            "state": "ready",
            "warmupLeftMs": 0,
            "seq": 1,
            "born": int(time.time() * 1000),
        }
        store.put("servers", self.server_id, entry)

    async def _crash(self) -> None:
        """End all connections; be back after some seconds, under a new id."""
        assert self._listener is not None
        self._crashes.append(time.monotonic())
        self._record.add(f"{self.server_id} crashes")
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(BACK_AFTER_S)
        self._store.delete("servers", self.server_id)
        await self.start(self._store)
        self._restart = None

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (message := await read_message(reader)) is not None:
            first, headers, _ = message
            request_id = headers.get("x-request-id", "")
            answer_headers = {"X-Request-Id": request_id, "Keep-Alive": "timeout=10"}
            if headers.get("x-expect-instance") != self.server_id:
                more = {"X-Not-Executed": "1"}
                writer.write(encode_answer(421, answer_headers | more, b""))
                continue
            if "/search/same" in first and headers.get("x-tenant-id") == "fatal":
                self._arrivals.setdefault(request_id, time.monotonic())
                await asyncio.sleep(0.005)
                if self._restart is None:
                    self._restart = asyncio.create_task(self._crash())
                return
            await asyncio.sleep(0.01)
            more = {"X-Backend-Stamp": secrets.token_hex(6)}
            body = secrets.token_bytes(80)
            writer.write(encode_answer(200, answer_headers | more, body))
            await writer.drain()


class CopiesByCaller(Case):
    """Copies of a request that crashes servers, beside a sound one of the same path."""

    zones = ("z0", "z1", "z2")
    fronts_per_zone = 3

    def __init__(self, record: Record, folder: Path, *, is_disrupted: bool) -> None:
        super().__init__(record, folder, is_disrupted=is_disrupted)
        self.random = random.Random(58)
        self.arrivals: dict[str, float] = {}
        self.crashes: list[float] = []
        self.crashing = [
            CrashingServer(
                service,
                zone,
                arrivals=self.arrivals,
                crashes=self.crashes,
                record=record,
            )
            for service in SERVICES
            for zone in self.zones[:2]
        ]
        self.hows: Counter[str] = Counter()

    def configuration(self) -> dict[str, Any]:
        """Return the operator's configuration, with two workspaces."""
        content = configuration(3, [])
        content["services"] = [{"name": name, "maxConns": 96} for name in SERVICES]
        search = {
            "name": "search",
            "host": "tier.example",
            "pathPrefix": "/search/",
            "kind": "idempotent",
            "gather": list(SERVICES),
            "topK": 5,
            "minCoverage": 0.6,
            "timeoutMs": 2000,
            "sloMs": 200,
            "attempts": 2,
            "priority": 0,
        }
        content["routes"] = [search]
        content["tenants"] = [
            {"name": "fatal", "apiKeys": [FATAL], "priority": 1},
            {"name": "sound", "apiKeys": [SOUND], "priority": 1},
        ]
        return content

    async def play(self) -> None:
        """Send searches, and copies of the one that crashes servers."""
        for server in self.crashing:
            await server.start(self.store)
        await asyncio.sleep(1.0)
        end_s = time.monotonic() + LENGTH_S
        callers = [self.call(f"/search/{n}", SOUND, end_s, 0.05) for n in range(8)]
        callers += [self.call("/search/same", SOUND, end_s, 0.2) for _ in range(2)]
        if self.is_disrupted:
            callers += [self.call("/search/same", FATAL, end_s, 0.3) for _ in range(2)]
        await asyncio.gather(*callers)

    async def call(self, path: str, key: str, end_s: float, pause_s: float) -> None:
        """Send the same request again and again, each time with a new id."""
        while time.monotonic() < end_s:
            front = self.random.choice(self.fronts)
            headers = {
                "Host": "tier.example",
                "X-Request-Id": new_request_id(),
                "X-Deadline-Ms": "1000",
                "X-Key": key,
            }
            answer: Answer = await send_request(
                front.address, "GET", path, headers, timeout_s=1.2
            )
            self.hows[f"{key} {answer.how}"] += 1
            await asyncio.sleep(pause_s)

    def judge(self) -> int:
        """Count the copies that reached servers too late."""
        late = []
        if len(self.crashes) >= ALLOWED_COPIES:
            from_s = sorted(self.crashes)[2] + CONTACT_MS / 1000.0
            late = [name for name, at_s in self.arrivals.items() if at_s > from_s]
        self.record.add(f"answers: {dict(self.hows)}; crashes: {len(self.crashes)}")
        self.record.add(f"BUDGET: {len(late)} late copies at servers: {late}")
        print(dict(self.hows), "crashes", len(self.crashes), "BUDGET", len(late))
        if self.hows[f"{SOUND} 200"] < 100:
            return COULD_NOT_RUN
        return BROKEN if len(late) > ALLOWED_COPIES else HELD


if __name__ == "__main__":
    path = Path(__file__).with_suffix(".record.txt")
    sys.exit(run_case(CopiesByCaller, path))
