"""Loopback proxy that injects network faults into its connections."""

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
"""Delay of each chunk: longer than a healthy exchange."""


class ProxyFault(Enum):
    """Fault applied to the traffic through the proxy."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    PARTITION_FORWARD = "cut_forward"
    PARTITION_BACKWARD = "cut_back"
    SILENT = "silent"


class FaultyProxy:
    """Forwards connections to one address, subject to the current fault.

    Bytes held back by a partition are delivered when it heals. A silenced
    connection never recovers; new ones work once the fault is over.

    Attributes
    ----------
    address : str
        Address it listens on, once it runs.
    target : str
        Address that connections are forwarded to.
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
        await trio.serve_listeners(self._forward_connection, listeners)

    def set_fault(self, fault: ProxyFault) -> None:
        """Set the fault applied to the connections."""
        self._fault = fault
        if fault is ProxyFault.SILENT:
            self._silenced |= self._streams
        if fault is ProxyFault.RESET:
            for stream in list(self._streams):
                _reset(stream)
        self._changed.set()
        self._changed = trio.Event()

    async def _forward_connection(self, stream: trio.SocketStream) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            upstream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            # The target is down: propagate the refused connection.
            _reset(stream)
            return
        self._streams.add(stream)
        try:
            async with upstream, trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(self._relay, stream, upstream, stream, True, scope)
                nursery.start_soon(self._relay, upstream, stream, stream, False, scope)
        finally:
            self._streams.discard(stream)
            self._silenced.discard(stream)

    async def _relay(
        self,
        reader: trio.SocketStream,
        writer: trio.SocketStream,
        stream: trio.SocketStream,
        is_forward: bool,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while data := await reader.receive_some(_CHUNK_BYTES):
                await self._wait_while_held(stream, is_forward)
                await writer.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # One side was reset: reset the other side too.
            _reset(stream)
        scope.cancel()

    async def _wait_while_held(
        self, stream: trio.SocketStream, is_forward: bool
    ) -> None:
        """Wait while the fault holds bytes back."""
        if self._fault is ProxyFault.DELAY:
            await trio.sleep(_DELAY_MS / 1000.0)
        while stream in self._silenced or self._is_held(is_forward):
            await self._changed.wait()

    def _is_held(self, is_forward: bool) -> bool:
        if self._fault is ProxyFault.SILENT:
            return True
        held = (
            ProxyFault.PARTITION_FORWARD
            if is_forward
            else ProxyFault.PARTITION_BACKWARD
        )
        return self._fault is held


def _reset(stream: trio.SocketStream) -> None:
    """Close a connection with a reset instead of an orderly shutdown."""
    if stream.socket.fileno() < 0:
        return
    linger = struct.pack("ii", 1, 0)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.socket.close()
