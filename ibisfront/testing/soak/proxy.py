"""A loopback proxy that spoils the connections that go through it."""

from __future__ import annotations

import socket
import struct
from enum import Enum
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from ibisfront.core.types import Address

__all__ = ["FaultyProxy", "ProxyFault"]

_CHUNK_BYTES = 65_536
_DELAY_MS = 60.0
"""How long delayed bytes wait: longer than a healthy exchange."""


class ProxyFault(Enum):
    """What the proxy does to what passes."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    CUT_FORWARD = "cut_forward"
    CUT_BACK = "cut_back"
    SILENT = "silent"


class FaultyProxy:
    """Passes connections on to one address, as its fault allows.

    Bytes that a cut holds back go on when it ends; a silenced connection stays
    silent for good, while new ones work once the fault is over.

    Attributes
    ----------
    address : str
        Where it listens, once it runs.
    target : str
        Where connections go on to.
    """

    def __init__(self, target: Address = "") -> None:
        self.target = target
        self.address = ""
        self._fault = ProxyFault.NONE
        self._changed = trio.Event()
        self._streams: set[trio.SocketStream] = set()
        self._silenced: set[trio.SocketStream] = set()

    async def run(
        self, *, task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()
        self.address = f"{host}:{port}"
        task_status.started(self.address)
        await trio.serve_listeners(self._carry, listeners)

    def set_fault(self, fault: ProxyFault) -> None:
        """Change what happens to the connections."""
        self._fault = fault
        if fault is ProxyFault.SILENT:
            self._silenced |= self._streams
        if fault is ProxyFault.RESET:
            for stream in list(self._streams):
                _reset(stream)
        self._changed.set()
        self._changed = trio.Event()

    async def _carry(self, stream: trio.SocketStream) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            onward = await trio.open_tcp_stream(host, int(port))
        except OSError:
            # The process behind is down: its own refusal, passed on.
            _reset(stream)
            return
        self._streams.add(stream)
        try:
            async with onward, trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(self._pump, stream, onward, stream, True, scope)
                nursery.start_soon(self._pump, onward, stream, stream, False, scope)
        finally:
            self._streams.discard(stream)
            self._silenced.discard(stream)

    async def _pump(
        self,
        reader: trio.SocketStream,
        writer: trio.SocketStream,
        stream: trio.SocketStream,
        is_forward: bool,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while data := await reader.receive_some(_CHUNK_BYTES):
                await self._pass(stream, is_forward)
                await writer.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The other end is gone; the near one must hear of it the same way.
            _reset(stream)
        scope.cancel()

    async def _pass(self, stream: trio.SocketStream, is_forward: bool) -> None:
        """Wait for as long as the fault holds bytes back."""
        if self._fault is ProxyFault.DELAY:
            await trio.sleep(_DELAY_MS / 1000.0)
        while stream in self._silenced or self._holds(is_forward):
            await self._changed.wait()

    def _holds(self, is_forward: bool) -> bool:
        if self._fault is ProxyFault.SILENT:
            return True
        held = ProxyFault.CUT_FORWARD if is_forward else ProxyFault.CUT_BACK
        return self._fault is held


def _reset(stream: trio.SocketStream) -> None:
    """Close a connection with a reset, and not in order."""
    if stream.socket.fileno() < 0:
        return
    linger = struct.pack("ii", 1, 0)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.socket.close()
