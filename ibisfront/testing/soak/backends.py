"""The backend servers of one run, and their entries in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.testing.soak.proxy import FaultyProxy
from ibisfront.testing.soak.servers import Ran, SoakServer

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.testing.object_store import FakeObjectStore

__all__ = ["SoakBackend", "SoakBackends"]

_SLOTS = 4


class SoakBackend(msgspec.Struct):
    """A server, the proxy before it, and what ends it."""

    server: SoakServer
    proxy: FaultyProxy
    scope: trio.CancelScope
    zone: str


class SoakBackends:
    """All servers of a run.

    Parameters
    ----------
    store : FakeObjectStore
        Where they are listed.
    clock : Clock
        The soak's clock.

    Attributes
    ----------
    ran : list of Ran
        What any of them ran.
    left : list of str
        The ids of those that were drained or are gone.
    """

    def __init__(self, store: FakeObjectStore, *, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._all: dict[str, SoakBackend] = {}
        self.ran: list[Ran] = []
        self.left: list[str] = []

    async def add(self, nursery: trio.Nursery, service: str, zone: str) -> None:
        """Start another server of a service and list it."""
        server_id = f"i{len(self._all) + 1}"
        server = SoakServer(server_id, service, ran=self.ran, clock=self._clock)
        backend = SoakBackend(
            server, FaultyProxy(server.address), trio.CancelScope(), zone
        )
        self._all[server_id] = backend
        await nursery.start(_serve, backend)
        self._list(backend, "ready")

    def live(self, number: int) -> SoakBackend:
        """Return one of the servers that have not left."""
        live = [name for name in self._all if name not in self.left]
        return self._all[live[number % len(live)]]

    def leave(self, backend: SoakBackend, *, is_drained: bool) -> None:
        """Let a server drain, and serve on; or let it be gone at once."""
        server_id = backend.server.server_id
        self.left.append(server_id)
        if is_drained:
            self._list(backend, "draining")
            return
        backend.scope.cancel()
        self._store.remove("servers", server_id)

    def _list(self, backend: SoakBackend, state: str) -> None:
        entry = {
            "service": backend.server.service,
            "addr": backend.proxy.address,
            "zone": backend.zone,
            "version": "v1",
            "slots": _SLOTS,
            "state": state,
            "warmupLeftMs": 0,
            "seq": 1,
        }
        self._store.put("servers", backend.server.server_id, entry)


async def _serve(
    backend: SoakBackend,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    with backend.scope:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(backend.server.run)
            await nursery.start(backend.proxy.run)
            task_status.started()
