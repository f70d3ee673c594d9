"""Trial: a caller that expects 100 Continue and resets ends the front process."""

from __future__ import annotations

import asyncio
import socket
import struct
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (
    BROKEN,
    HELD,
    Case,
    Record,
    Server,
    configuration,
    new_request_id,
    route,
    run_case,
)

_RESET = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` that makes a close a reset."""


class ResetBeforeContinue(Case):
    """Ten callers send a head with ``Expect: 100-continue``, then reset."""

    def __init__(self, record: Record, folder: Path, *, is_disrupted: bool) -> None:
        super().__init__(record, folder, is_disrupted=is_disrupted)
        server = Server("archive", "z0", record, slots=2, queue=8, work_ms=lambda: 50.0)
        self.servers = [server]

    def configuration(self) -> dict[str, Any]:
        """Return the operator's configuration."""
        return configuration(3, [route("archive", "archive", "idempotent")])

    async def play(self) -> None:
        """Send the heads, one after the other."""
        host, _, port = self.fronts[0].address.rpartition(":")
        for _ in range(10):
            await self.fronts[0].wait_until_ready()
            lines = [
                "POST /archive/1 HTTP/1.1",
                "Host: tier.example",
                f"X-Request-Id: {new_request_id()}",
                "Expect: 100-continue",
                "Content-Length: 10",
            ]
            with socket.create_connection((host, int(port))) as sock:
                sock.sendall("\r\n".join([*lines, "", ""]).encode())
                if self.is_disrupted:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            await asyncio.sleep(2.0)

    def judge(self) -> int:
        """Return whether the process has ended by itself."""
        self.record.add(f"ends: {self.exits}")
        print("ends", len(self.exits))
        return BROKEN if self.exits else HELD


if __name__ == "__main__":
    path = Path(__file__).with_suffix(".record.txt")
    sys.exit(run_case(ResetBeforeContinue, path))
