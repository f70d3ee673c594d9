"""Injection of faults into a soak run."""

from __future__ import annotations

import signal
from collections.abc import Callable
from contextlib import contextmanager
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.testing.soak.checks import Span
from ibisfront.testing.soak.faults import Fault, FaultKind
from ibisfront.testing.soak.proxy import FaultyProxy, ProxyFault

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from ibisfront.core.clock import Clock
    from ibisfront.testing.object_store import FakeObjectStore
    from ibisfront.testing.soak.backends import SoakBackend, SoakBackends
    from ibisfront.testing.soak.contact import Troubles
    from ibisfront.testing.soak.fronts import SoakFront

__all__ = ["FaultInjector"]

_SLOW_MS = 400.0
_FAULT_MARGIN_MS = 100.0
"""How long after a fault its effects last: bytes held back arrive late."""


class FaultInjector:
    """Injects faults into the parts of a deployment.

    Parameters
    ----------
    fronts : sequence of SoakFront
        The front processes.
    backends : SoakBackends
        The backend servers.
    store : FakeObjectStore
        The store.
    change_configuration : callable
        Writes a new version after a fault of the configuration.
    troubles : Troubles
        Where faults of fronts and of the store are recorded.
    clock : Clock
        Clock of the soak run.

    Attributes
    ----------
    stops, disruptions : list of Span
        Planned stops of fronts, and other faults of fronts and of their callers'
        proxies.
    """

    def __init__(
        self,
        *,
        fronts: Sequence[SoakFront],
        backends: SoakBackends,
        store: FakeObjectStore,
        change_configuration: Callable[[Fault], None],
        troubles: Troubles,
        clock: Clock,
    ) -> None:
        self._fronts = fronts
        self._backends = backends
        self._store = store
        self._change_configuration = change_configuration
        self._troubles = troubles
        self._clock = clock
        self.stops: list[Span] = []
        self.disruptions: list[Span] = []

    async def inject(self, fault: Fault, nursery: trio.Nursery) -> None:
        """Inject a fault and return once it is over."""
        name = fault.kind.value
        front = self._fronts[fault.target % len(self._fronts)]
        if name.startswith("front_"):
            await self._inject_front_fault(fault, front)
        elif name.startswith("store_") and fault.kind is not FaultKind.STORE_PATH:
            with self._troubles.recording(self._clock):
                await self._inject_store_fault(fault)
        elif name.startswith("server_"):
            await self._inject_server_fault(fault, nursery)
        elif fault.kind is FaultKind.ALL_SERVERS_REJECT:
            await self._reject_everywhere(fault.duration_s)
        elif fault.kind is FaultKind.ALL_FRONTS_KILL:
            await self._kill_all_fronts(fault)
        elif fault.kind is FaultKind.STORE_PATH:
            with self._troubles.recording(self._clock, front=front.name):
                await _inject_proxy_fault(front.store_proxy, fault)
        elif fault.kind is FaultKind.CALLERS_PATH:
            with self._recording_span(self.disruptions, front):
                await _inject_proxy_fault(front.callers_proxy, fault)
        else:
            self._change_configuration(fault)

    async def _inject_front_fault(self, fault: Fault, front: SoakFront) -> None:
        if not front.is_running:
            return
        if fault.kind is FaultKind.FRONT_PAUSE:
            with self._recording_span(self.disruptions, front):
                front.send(signal.SIGSTOP)
                await trio.sleep(fault.duration_s)
                front.send(signal.SIGCONT)
            return
        front.write_settings([item.control_address for item in self._fronts[:3]])
        if fault.kind is FaultKind.FRONT_RELOAD:
            front.send(signal.SIGHUP)
            return
        is_kill = fault.kind is FaultKind.FRONT_KILL
        with self._recording_span(self.disruptions if is_kill else self.stops, front):
            front.send(signal.SIGCONT)
            front.send(signal.SIGKILL if is_kill else signal.SIGTERM)
            await front.wait()

    async def _kill_all_fronts(self, fault: Fault) -> None:
        kill = msgspec.structs.replace(fault, kind=FaultKind.FRONT_KILL)
        async with trio.open_nursery() as nursery:
            for front in self._fronts:
                nursery.start_soon(self._inject_front_fault, kill, front)

    async def _reject_everywhere(self, duration_s: float) -> None:
        """Make all servers reject requests; a server added meanwhile does not."""
        rejecting = self._backends.all_live()
        for backend in rejecting:
            backend.server.is_rejecting = True
        await trio.sleep(duration_s)
        for backend in rejecting:
            backend.server.is_rejecting = False

    @contextmanager
    def _recording_span(self, spans: list[Span], front: SoakFront) -> Iterator[None]:
        """Record the time span in which a fault affects a front."""
        label, from_ms = front.label, self._clock.now_ms()
        try:
            with self._troubles.recording(self._clock, front=front.name):
                yield
        finally:
            until_ms = self._clock.now_ms() + _FAULT_MARGIN_MS
            spans.append(Span(label, from_ms, until_ms))

    async def _inject_store_fault(self, fault: Fault) -> None:
        store = self._store
        if fault.kind is FaultKind.STORE_COMPACTED:
            store.compact()
        elif fault.kind is FaultKind.STORE_RESPONSE_LOST:
            store.lost_write_responses += 1
        elif fault.kind is FaultKind.STORE_SILENT:
            store.is_silent = True
            await trio.sleep(fault.duration_s)
            store.is_silent = False
        else:
            store.error_status = 503 if fault.variant % 2 else 429
            await trio.sleep(fault.duration_s)
            store.error_status = 0

    async def _inject_server_fault(self, fault: Fault, nursery: trio.Nursery) -> None:
        backend = self._backends.live(fault.target)
        if fault.kind is FaultKind.SERVER_PATH:
            await _inject_proxy_fault(backend.proxy, fault)
        elif fault.kind is FaultKind.SERVER_SLOW:
            backend.server.latency_ms = _SLOW_MS
            await trio.sleep(fault.duration_s)
            backend.server.latency_ms = 3.0
        elif fault.kind is FaultKind.SERVER_FAILS:
            backend.server.is_failing = True
            await trio.sleep(fault.duration_s)
            backend.server.is_failing = False
        else:
            await self._replace_server(backend, fault, nursery)

    async def _replace_server(
        self, backend: SoakBackend, fault: Fault, nursery: trio.Nursery
    ) -> None:
        """Replace a server; the old one drains or disappears at once."""
        is_drained = fault.kind is FaultKind.SERVER_DRAIN
        self._backends.retire(backend, is_drained=is_drained)
        await self._backends.add(nursery, backend.server.service, backend.zone)


async def _inject_proxy_fault(proxy: FaultyProxy, fault: Fault) -> None:
    kinds = [kind for kind in ProxyFault if kind is not ProxyFault.NONE]
    proxy.set_fault(kinds[fault.variant % len(kinds)])
    await trio.sleep(fault.duration_s)
    proxy.set_fault(ProxyFault.NONE)
