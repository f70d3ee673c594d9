"""The connections of this instance to one backend server."""

from __future__ import annotations

import errno
import math
from collections import deque
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol, TypeAlias

import trio

from ibisfront.gateway.messages import ExchangeErrorKind
from ibisfront.gateway.servers.server_event_log import ServerEventLog

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.types import Address
    from ibisfront.gateway.servers.exchange import Exchange
    from ibisfront.gateway.servers.server import Server

__all__ = ["OpenServerConnection", "ServerConnection", "ServerPool"]

_ABANDONED_MS = 700.0
_ABANDONED_FACTOR = 4.0
"""How long a reply that nobody waits for may take before its connection is
closed, at least and in units of the time after which it is late: longer than a
pause and a slow reply, after which the connection can be used again."""


_READY_CONNECTIONS = 3
"""Connections up to which the next one is opened before it is needed: two queries at
once and a hedged request."""


_ASKED_OFTEN_MS = 1_000.0
"""A server that replied this recently is likely to be asked again soon."""


class ServerConnection(Protocol):
    """An open connection that carries one exchange at a time."""

    def send(self, exchange: Exchange, now_ms: float) -> bool:
        """Send an exchange; return False if no byte could be sent."""

    @property
    def is_idle(self) -> bool:
        """Whether it can take an exchange."""

    @property
    def expires_at_ms(self) -> float:
        """Until when the server keeps it open while it is idle."""

    def close(self) -> None:
        """Close it at once."""

    async def run(self, on_idle: Callable[[ServerConnection], None]) -> None:
        """Read replies until the connection ends."""


OpenServerConnection: TypeAlias = "Callable[[Address], Awaitable[ServerConnection]]"
"""Connects to a server; raises ``OSError`` if that fails."""


class ServerPool:
    """The connections to one server, and the exchanges that wait for one.

    Parameters
    ----------
    server : Server
        The server.
    open_connection : callable
        Connects to it.
    nursery : trio.Nursery
        Runs the connections.
    clock : Clock
        The tier's clock.
    maximum : int
        How many connections there may be.
    event_log : ServerEventLog, optional
        Logs that the server cannot be reached.

    Attributes
    ----------
    keeps_idle : bool
        Whether a connection that carries nothing is kept for the next exchange.
    """

    __slots__ = (
        "_clock",
        "_connections",
        "_event_log",
        "_idle",
        "_is_closed",
        "_nursery",
        "_open_connection",
        "_opening",
        "_server",
        "_waiting",
        "keeps_idle",
        "maximum",
    )

    def __init__(
        self,
        server: Server,
        *,
        open_connection: OpenServerConnection,
        nursery: trio.Nursery,
        clock: Clock,
        maximum: int,
        event_log: ServerEventLog | None = None,
    ) -> None:
        self._event_log = ServerEventLog(clock) if event_log is None else event_log
        self._server = server
        self._open_connection = open_connection
        self._nursery = nursery
        self._clock = clock
        self.maximum = maximum
        self.keeps_idle = True
        self._connections: set[ServerConnection] = set()
        self._idle: list[ServerConnection] = []
        self._opening = 0
        self._waiting: deque[Exchange] = deque()
        self._is_closed = False

    @property
    def size(self) -> int:
        """How many connections are open or being opened."""
        return len(self._connections) + self._opening

    @property
    def has_room(self) -> bool:
        """Whether an exchange could be sent without waiting for another."""
        return bool(self._idle) or self.size < self.maximum

    def submit(self, exchange: Exchange) -> None:
        """Send an exchange, now or as soon as there is a connection."""
        now_ms = exchange.created_at_ms
        self._server.record_submitted(exchange, now_ms)
        if self._is_closed:
            exchange.fail(ExchangeErrorKind.SERVER_GONE)
            return
        while self._idle:
            connection = self._idle.pop()
            if self._send(connection, exchange, now_ms):
                self._open_next(now_ms)
                return
        self._enqueue(exchange)
        if self.size < self.maximum:
            self._start_opening()

    def _open_next(self, now_ms: float) -> None:
        """Open a connection for the next request, once the last idle one is taken.

        Load pattern: a query comes while another one waits for its parts. Each of its
        parts would open a connection first, which takes longer than the work itself.
        """
        if self._idle or self._opening or not self.keeps_idle:
            return
        if now_ms - self._server.last_reply_at_ms > _ASKED_OFTEN_MS:
            return
        if self.size < min(self.maximum, _READY_CONNECTIONS):
            self._start_opening()

    def _replace(self, connection: ServerConnection) -> None:
        """Open another connection for one that was closed to stop its work."""
        is_last = not self._connections - {connection} and not self._opening
        if is_last and self.keeps_idle and not self._is_closed:
            self._start_opening()

    def warm_up(self) -> None:
        """Open a first connection before it is needed."""
        if not self.size and not self._is_closed:
            self._start_opening()

    def close_idle(self) -> None:
        """Close the connections that carry nothing."""
        while self._idle:
            self._idle.pop().close()

    def probe(self, *, timeout_ms: float = math.inf) -> bool:
        """Open one more connection, to see whether the server is there.

        Parameters
        ----------
        timeout_ms : float
            How long it may take to open, if that is less than usual.

        Returns
        -------
        bool
            Whether it is being opened.
        """
        if self._opening or not self.has_room or self._is_closed:
            return False
        self._start_opening(timeout_ms)
        return True

    def forget(self, exchange: Exchange) -> None:
        """Note that an exchange has ended."""
        self._server.in_flight.pop(exchange, None)

    def release_waiting(self) -> None:
        """Give up what waits for a connection; none of it was sent."""
        self._fail_waiting(ExchangeErrorKind.SERVER_GONE)

    def close(self) -> None:
        """Take no more exchanges; those under way are left to end."""
        self._is_closed = True
        for connection in self._idle:
            connection.close()
        self._idle.clear()
        self._fail_waiting(ExchangeErrorKind.SERVER_GONE)

    def retire(self) -> None:
        """Close every connection; what was sent may have run, and ends so."""
        self.close()
        for connection in list(self._connections):
            connection.close()

    def _enqueue(self, exchange: Exchange) -> None:
        index = len(self._waiting)
        while index and self._waiting[index - 1].rank > exchange.rank:
            index -= 1
        self._waiting.insert(index, exchange)

    def _start_opening(self, timeout_ms: float = math.inf) -> None:
        self._opening += 1
        self._nursery.start_soon(self._run_connection, timeout_ms)

    async def _open(self, timeout_ms: float) -> ServerConnection:
        address = self._server.entry.address
        with self._clock.timeout_ms(timeout_ms):
            return await self._open_connection(address)
        raise TimeoutError(errno.ETIMEDOUT, "it does not accept")

    async def _run_connection(self, timeout_ms: float) -> None:
        try:
            connection = await self._open(timeout_ms)
        except OSError as error:
            self._opening -= 1
            self._record_unreachable(error)
            return
        self._opening -= 1
        self._server.record_connected(self._clock.now_ms())
        self._connections.add(connection)
        try:
            self._offer(connection)
            await connection.run(self._offer)
        finally:
            self._connections.discard(connection)
            if connection in self._idle:
                self._idle.remove(connection)
        if self._waiting and self.size < self.maximum and not self._is_closed:
            self._start_opening()

    def _record_unreachable(self, error: OSError) -> None:
        entry = self._server.entry
        why = error.strerror or type(error).__name__
        what = f"Cannot be reached, {why}"
        self._event_log.record(what, entry.server_id, entry.service, is_fault=True)
        self._server.record_unreachable(self._clock.now_ms())
        if not self.size:
            self._fail_waiting(ExchangeErrorKind.CONNECT_FAILED)

    def _fail_waiting(self, kind: ExchangeErrorKind) -> None:
        waiting = list(self._waiting)
        self._waiting.clear()
        for exchange in waiting:
            exchange.fail(kind)

    def _offer(self, connection: ServerConnection) -> None:
        """Give a free connection its next exchange, or keep it."""
        now_ms = self._clock.now_ms()
        while self._waiting and connection.is_idle:
            exchange = self._waiting.popleft()
            if not exchange.has_ended and self._send(connection, exchange, now_ms):
                return
        if not connection.is_idle:
            return
        if self._is_closed or not self.keeps_idle:
            connection.close()
        else:
            self._idle.append(connection)

    def _send(
        self, connection: ServerConnection, exchange: Exchange, now_ms: float
    ) -> bool:
        if not connection.is_idle or connection.expires_at_ms <= now_ms:
            connection.close()
            return False
        if not connection.send(exchange, now_ms):
            return False
        self._server.record_sent(now_ms)

        def abandon(at_once: bool) -> None:
            if at_once:
                connection.close()
                self._replace(connection)
            else:
                self._nursery.start_soon(self._close_late, connection, exchange)

        exchange.abandon = abandon
        return True

    async def _close_late(
        self, connection: ServerConnection, exchange: Exchange
    ) -> None:
        """Close a connection on which an abandoned reply does not come."""
        wait_ms = max(_ABANDONED_MS, _ABANDONED_FACTOR * exchange.expected_ms)
        await self._clock.sleep_ms(wait_ms)
        if not exchange.has_ended:
            connection.close()
