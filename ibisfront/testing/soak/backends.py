"""Backend servers of one run and their entries in the store."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.testing.processes import free_address
from ibisfront.testing.soak.proxy import FaultyProxy, ProxyFault
from ibisfront.testing.soak.servers import ServerRecords, SoakServer

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.testing.object_store import FakeObjectStore

__all__ = ["SoakBackend", "SoakBackends"]

_SLOTS = 4
_CRASHED_S = 1.0
"""Time until a crashed server accepts connections again."""


class SoakBackend(msgspec.Struct):
    """A server, the proxy in front of it and the scope that stops it."""

    server: SoakServer
    proxy: FaultyProxy
    scope: trio.CancelScope
    zone: str


class SoakBackends:
    """All backend servers of a run.

    Parameters
    ----------
    store : FakeObjectStore
        Store that holds the server entries.
    clock : Clock
        Clock of the soak run.

    Attributes
    ----------
    records : ServerRecords
        What the servers have seen.
    retired : list of str
        Ids of the servers that were drained or removed.
    """

    def __init__(self, store: FakeObjectStore, *, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._all: dict[str, SoakBackend] = {}
        self.records = ServerRecords()
        self.retired: list[str] = []

    async def add(self, nursery: trio.Nursery, service: str, zone: str) -> None:
        """Start a server of a service and publish its entry."""
        server_id = f"i{len(self._all) + 1}"
        server = SoakServer(server_id, service, records=self.records, clock=self._clock)
        backend = SoakBackend(
            server, FaultyProxy(server.address), trio.CancelScope(), zone
        )
        server.on_crash = partial(nursery.start_soon, _crash, backend)
        self._all[server_id] = backend
        await nursery.start(_serve, backend)
        self._publish_entry(backend, "ready")

    def live(self, number: int) -> SoakBackend:
        """Return one of the servers that are not retired."""
        live = self.all_live()
        return live[number % len(live)]

    def all_live(self) -> list[SoakBackend]:
        """Return the servers that are not retired."""
        return [
            backend for name, backend in self._all.items() if name not in self.retired
        ]

    def retire(self, backend: SoakBackend, *, is_drained: bool) -> None:
        """Drain a server, which goes on serving, or stop and remove it at once."""
        server_id = backend.server.server_id
        self.retired.append(server_id)
        if is_drained:
            self._publish_entry(backend, "draining")
            return
        backend.scope.cancel()
        self._store.remove("servers", server_id)

    def _publish_entry(self, backend: SoakBackend, state: str) -> None:
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


async def _crash(backend: SoakBackend) -> None:
    """Reset all connections of a server, and refuse new ones for some time."""
    proxy = backend.proxy
    proxy.target = free_address()
    proxy.set_fault(ProxyFault.RESET)
    await trio.sleep(_CRASHED_S)
    proxy.set_fault(ProxyFault.NONE)
    proxy.target = backend.server.address


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
