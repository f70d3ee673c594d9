"""Listener for callers over HTTP/1.1."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeAlias

import trio

from ibisfront.core.logs import LogPart, part_logger
from ibisfront.core.task_guard import TaskGuard
from ibisfront.gateway.messages import CallerReply
from ibisfront.http1.caller_connection import CallerConnection
from ibisfront.http1.caller_memory import CallerMemory

if TYPE_CHECKING:
    from collections.abc import Collection

    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.task_guard import TaskNursery
    from ibisfront.gateway.messages import InboundRequest
    from ibisfront.gateway.state.configuration import CallerLimits
    from ibisfront.gateway.wire import WireCodec

__all__ = ["AnswerRequest", "CallerListener"]

_LOG = part_logger(LogPart.CALLERS)

_ACCEPT_PAUSE_MS = 20.0
"""Pause after a failed accept (no free descriptors), until connections end."""

_INTERNAL_ERROR = 500
_GATEWAY_TIMEOUT = 504

AnswerRequest: TypeAlias = "Callable[[InboundRequest], Awaitable[CallerReply]]"
"""Answers a caller's request; cancelled if the caller disconnects."""


class CallerListener:
    """Accepts callers' connections and serves them.

    Parameters
    ----------
    sock : socket.socket
        The listening socket; this object takes ownership.
    answer : callable
        Answers a request.
    wire : WireCodec
        The codec.
    limits : callable
        Returns the limits of callers' requests.
    clock : Clock
        The tier's clock.
    counters : Counters, optional
        Counts connections that end by an unexpected error.
    memory : CallerMemory, optional
        Limits what callers use, over all listeners that share it; by default it is
        this listener's own, of a process with the default limits.

    Attributes
    ----------
    is_stopping : bool
        Whether connections are closed after their next answer.
    """

    __slots__ = (
        "_answer",
        "_clock",
        "_connections",
        "_counters",
        "_limits",
        "_scope",
        "_sock",
        "_wire",
        "is_stopping",
        "memory",
    )

    def __init__(
        self,
        sock: socket.socket,
        *,
        answer: AnswerRequest,
        wire: WireCodec,
        limits: Callable[[], CallerLimits],
        clock: Clock,
        counters: Counters | None = None,
        memory: CallerMemory | None = None,
    ) -> None:
        self._sock = sock
        self._answer = answer
        self._wire = wire
        self._limits = limits
        self._clock = clock
        self._counters = counters
        self._connections: set[CallerConnection] = set()
        self._scope = trio.CancelScope()
        self.is_stopping = False
        if memory is None:
            memory = CallerMemory(clock=clock, counters=counters)
        self.memory = memory

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def metered(self) -> Collection[CallerConnection]:
        """The open connections."""
        return self._connections

    @property
    def busy(self) -> int:
        """Number of connections with a request in flight."""
        return sum(item.is_busy for item in self._connections)

    async def run(self) -> None:
        """Serve until :meth:`stop_accepting` and the end of the last connection."""
        self.memory.add_listener(self)
        try:
            await self._run()
        finally:
            self.memory.remove_listener(self)

    async def _run(self) -> None:
        async with trio.open_nursery() as nursery:
            tasks = TaskGuard(nursery, clock=self._clock, counters=self._counters)
            with self._scope:
                await self._accept_all(tasks)
            # Connections in the kernel's backlog would be reset, although their
            # callers may already have sent a request.
            while self._accept_one(tasks):
                pass
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()

    def close_idle(self) -> None:
        """Close the connections without a request in flight."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def end_work(self) -> None:
        """Answer the requests in flight that they are unfinished."""
        for connection in list(self._connections):
            connection.end_work()

    def stop_accepting(self) -> None:
        """Stop accepting connections."""
        self._scope.cancel()

    async def _accept_all(self, tasks: TaskNursery) -> None:
        while True:
            await trio.lowlevel.wait_readable(self._sock)
            if not self._accept_one(tasks):
                await self._clock.sleep_ms(_ACCEPT_PAUSE_MS)

    def _accept_one(self, tasks: TaskNursery) -> bool:
        """Accept a pending connection; return whether there was one."""
        try:
            sock, _ = self._sock.accept()
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except BlockingIOError:
            return False
        except OSError as error:
            _LOG.warning("Cannot accept a connection: %s.", error)
            return False
        connection = CallerConnection(sock, self, tasks)
        self._connections.add(connection)
        if self.memory.admit(connection):
            tasks.start_soon(connection.run)
        else:
            self._connections.discard(connection)
            sock.close()
        return True

    async def answer(self, request: InboundRequest) -> CallerReply:
        """Answer a request of one of the connections.

        An internal error while one request is answered must not end the process,
        and with it every other request. Whether it had sent sub-requests is
        unknown, so the answer makes no claim about execution.
        """
        try:
            return await self._answer(request)
        except Exception:
            _LOG.exception(
                "Unhandled error in request.",
                extra={"request_id": request.request_id},
            )
            return CallerReply(_INTERNAL_ERROR, [], b"", "internal", closes=True)

    def unfinished_reply(self, request: InboundRequest) -> CallerReply:
        """Return the answer to a request whose work was cancelled; it may have run."""
        _LOG.warning(
            "The work for a request ended before its answer.",
            extra={"request_id": request.request_id},
        )
        return CallerReply(_GATEWAY_TIMEOUT, [], b"", "unfinished", closes=True)

    def limits(self) -> CallerLimits:
        """Return the limits of callers' requests."""
        return self._limits()

    @property
    def wire(self) -> WireCodec:
        """The codec."""
        return self._wire

    @property
    def clock(self) -> Clock:
        """The tier's clock."""
        return self._clock

    def remove_connection(self, connection: CallerConnection) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)
