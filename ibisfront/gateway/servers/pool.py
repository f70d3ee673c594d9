"""The connections of this instance to one backend server."""

from __future__ import annotations

import errno
import math
from collections import deque
from typing import TYPE_CHECKING

from ibisfront.gateway.messages import ExchangeErrorKind
from ibisfront.gateway.servers.server_connection import (
    ConnectionUsage,
    OpenServerConnection,
    ServerConnection,
    check_ms,
)
from ibisfront.gateway.servers.server_event_log import ServerEventLog

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.task_guard import TaskNursery
    from ibisfront.gateway.servers.exchange import Exchange
    from ibisfront.gateway.servers.server import Server

__all__ = ["OpenServerConnection", "ServerConnection", "ServerPool"]

_MIN_ABANDONED_MS = 700.0
_ABANDONED_FACTOR = 4.0
"""How long an abandoned reply may take before its connection is closed: the minimum,
and a multiple of the latency beyond which it is late. Longer than a pause or a slow
reply, after which the connection can be reused."""

_PREOPENED_CONNECTIONS = 3
"""Connections to a server that are opened before they are needed: enough for two
concurrent queries and a hedged request."""


_REMEMBERED_IDS = 16
"""Request ids that a connection remembers. A late copy of a reply comes where the next
reply is expected, so that the last id would do for one copy at a time."""

_RECENT_REPLY_MS = 1_000.0
"""A server that replied this recently is likely to get another request soon."""

_RESET_MEMORY_MS = 10_000.0
"""How long after a server has reset a new connection others are checked first."""


class ServerPool:
    """The connections to one server, and the exchanges that wait for one.

    Parameters
    ----------
    server : Server
        The server.
    open_connection : callable
        Connects to the server.
    nursery : TaskNursery
        Runs the connections.
    clock : Clock
        The clock.
    maximum : int
        The maximum number of connections.
    event_log : ServerEventLog, optional
        Logs connection failures.

    Attributes
    ----------
    keeps_idle : bool
        Whether an idle connection is kept open for the next exchange.
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
        "_resets_until_ms",
        "_sent",
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
        nursery: TaskNursery,
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
        # Ids of the last requests that each connection has carried.
        self._connections: dict[ServerConnection, deque[bytes]] = {}
        self._idle: list[ServerConnection] = []
        self._opening = 0
        self._resets_until_ms = -math.inf
        self._sent: set[Exchange] = set()
        self._waiting: deque[Exchange] = deque()
        self._is_closed = False

    @property
    def size(self) -> int:
        """The number of connections that are open or being opened."""
        return len(self._connections) + self._opening

    @property
    def has_room(self) -> bool:
        """Whether an exchange can be sent without waiting for another one to end."""
        if not self._has_connection:
            return False
        return self._server.window.is_open or self._has_window(self._clock.now_ms())

    @property
    def _has_connection(self) -> bool:
        """Whether a connection is idle or may be opened."""
        return bool(self._idle) or self.size < self.maximum

    @property
    def sent(self) -> int:
        """The number of exchanges sent and not ended."""
        return len(self._sent)

    def waiting_before(self, rank: int, now_ms: float) -> int:
        """Return how many waiting exchanges are sent before a new one of this rank."""
        replied_ms = now_ms + self._server.window.reply_ms
        return sum(
            item.rank < rank
            or (item.rank == rank and not item.would_be_late(replied_ms))
            for item in self._waiting
        )

    def submit(self, exchange: Exchange) -> None:
        """Send an exchange as soon as a connection is available."""
        now_ms = exchange.created_at_ms
        self._server.record_submitted(exchange, now_ms)
        if self._is_closed:
            exchange.fail(ExchangeErrorKind.SERVER_GONE)
            return
        can_send = not self._waiting and self._has_window(now_ms)
        if can_send and self._send_on_idle(exchange, now_ms):
            self._preopen(now_ms)
            return
        self._enqueue(exchange)
        if not self._has_window(now_ms):
            self._server.window.record_waiting(now_ms)
            return
        self.send_waiting()
        if not self._idle and self.size < self.maximum:
            self._start_opening()

    def send_waiting(self) -> None:
        """Send what waits for the window, as far as it has room."""
        for connection in reversed(self._idle.copy()):
            if not self._waiting:
                return
            if connection not in self._idle:
                continue
            self._idle.remove(connection)
            self._on_idle(connection)
            if connection.is_idle and not self._has_window(self._clock.now_ms()):
                return

    def _send_on_idle(self, exchange: Exchange, now_ms: float) -> bool:
        """Send an exchange on the last used idle connection that may carry it."""
        for index in reversed(range(len(self._idle))):
            connection = self._idle[index]
            if self._may_carry(connection, exchange):
                del self._idle[index]
                if self._send(connection, exchange, now_ms):
                    return True
        return False

    def _may_carry(self, connection: ServerConnection, exchange: Exchange) -> bool:
        """Return whether a request's id will identify its reply on a connection.

        A request is sent to the same server again after a rejection. A late copy of
        the rejection has the same id as the reply to the second request.
        """
        return exchange.request_id not in self._connections.get(connection, ())

    def _find_connection(self, exchange: Exchange) -> None:
        """Open a connection for an exchange that no idle one may carry.

        At the limit it takes the place of the idle connection that was unused longest.
        """
        if self._opening or any(self._may_carry(c, exchange) for c in self._idle):
            return
        if self.size < self.maximum:
            self._start_opening()
        elif self._idle:
            self._idle.pop(0).close()

    def _preopen(self, now_ms: float) -> None:
        """Open a connection for the next request once the last idle one is in use.

        Load pattern: a query arrives while another one waits for its parts. Each of its
        parts would first open a connection, which takes longer than the work itself.
        """
        if self._idle or self._opening or not self.keeps_idle:
            return
        if now_ms - self._server.last_reply_at_ms > _RECENT_REPLY_MS:
            return
        if self.size < min(self.maximum, _PREOPENED_CONNECTIONS):
            self._start_opening()

    def _replace(self, connection: ServerConnection) -> None:
        """Replace a connection that was closed to stop the server's work."""
        is_last = self._connections.keys() <= {connection} and not self._opening
        if is_last and self.keeps_idle and not self._is_closed:
            self._start_opening()

    def warm_up(self) -> None:
        """Open a first connection before it is needed."""
        if not self.size and not self._is_closed:
            self._start_opening()

    def close_idle(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def probe(self, *, timeout_ms: float = math.inf) -> bool:
        """Open one more connection to check that the server is reachable.

        Parameters
        ----------
        timeout_ms : float
            Connect timeout, if shorter than the default.

        Returns
        -------
        bool
            Whether a connection is being opened.
        """
        if self._opening or not self._has_connection or self._is_closed:
            return False
        self._start_opening(timeout_ms)
        return True

    def record_ended(self, exchange: Exchange) -> None:
        """Record that an exchange has ended."""
        self._server.in_flight.pop(exchange, None)
        self._sent.discard(exchange)
        if exchange.sent_at_ms is None and exchange in self._waiting:
            self._waiting.remove(exchange)
        error = exchange.error
        if error is not None and error.is_server_lost:
            self._resets_until_ms = self._clock.now_ms() + _RESET_MEMORY_MS

    def release_waiting(self) -> None:
        """Fail the exchanges that wait for a connection; none of them was sent."""
        self._fail_waiting(ExchangeErrorKind.SERVER_GONE)

    def close(self) -> None:
        """Accept no more exchanges; those in flight may finish."""
        self._is_closed = True
        for connection in self._idle:
            connection.close()
        self._idle.clear()
        self._fail_waiting(ExchangeErrorKind.SERVER_GONE)

    def retire(self) -> None:
        """Close every connection; exchanges already sent end as possibly run."""
        self.close()
        for connection in list(self._connections):
            connection.close()

    def _has_window(self, now_ms: float) -> bool:
        return self._server.window.has_room(now_ms, sent=len(self._sent))

    def _enqueue(self, exchange: Exchange) -> None:
        index = len(self._waiting)
        while index and self._waiting[index - 1].rank > exchange.rank:
            index -= 1
        self._waiting.insert(index, exchange)

    def _next_waiting(
        self, connection: ServerConnection, now_ms: float
    ) -> Exchange | None:
        """Return the waiting exchange to send next on a connection; None to wait.

        Of those with the same rank, the ones that are late anyway come last, and use no
        more than this instance's share of the server's slots.
        """
        window = self._server.window
        replied_ms = now_ms + window.reply_ms
        first: Exchange | None = None
        for exchange in self._waiting:
            if not self._may_carry(connection, exchange):
                continue
            if first is None:
                first = exchange
            if window.is_open:
                return first
            if exchange.rank != first.rank:
                break
            if not exchange.would_be_late(replied_ms):
                return exchange
        return None if len(self._sent) >= window.share else first

    def _start_opening(self, timeout_ms: float = math.inf) -> None:
        self._opening += 1
        self._nursery.start_soon(self._run_connection, timeout_ms)

    async def _open(self, timeout_ms: float) -> ServerConnection:
        address = self._server.entry.address
        with self._clock.timeout_ms(timeout_ms):
            return await self._open_connection(address)
        raise TimeoutError(errno.ETIMEDOUT, "connect timed out")

    async def _run_connection(self, timeout_ms: float) -> None:
        started_ms = self._clock.now_ms()
        try:
            connection = await self._open(timeout_ms)
        except Exception as error:
            self._opening -= 1
            self._record_unreachable(error)
            if not isinstance(error, OSError):
                raise
            return
        self._opening -= 1
        now_ms = self._clock.now_ms()
        self._server.record_connected(now_ms)
        self._connections[connection] = deque(maxlen=_REMEMBERED_IDS)
        usage = ConnectionUsage(self._on_idle)
        try:
            if self._must_check(now_ms):
                self._nursery.start_soon(
                    self._use_after_check, connection, usage, now_ms - started_ms
                )
            else:
                usage.begin(connection)
            await connection.run(usage.on_idle)
        finally:
            self._connections.pop(connection, None)
            if connection in self._idle:
                self._idle.remove(connection)
        if self._is_closed:
            return
        if not usage.is_begun:
            self._record_reset()
            return
        can_open = self.size < self.maximum
        if self._waiting and can_open and self._has_window(self._clock.now_ms()):
            self._start_opening()

    def _must_check(self, now_ms: float) -> bool:
        """Return whether a new connection is checked before a request is sent on it.

        Load pattern: more instances than a server accepts connections. It resets those
        beyond its limit as soon as they are open. What was sent on one may have run as
        far as this instance knows, and its caller cannot be told to repeat it.
        """
        return not self.keeps_idle or now_ms < self._resets_until_ms

    async def _use_after_check(
        self, connection: ServerConnection, usage: ConnectionUsage, connect_ms: float
    ) -> None:
        await self._clock.sleep_ms(check_ms(connect_ms))
        if connection in self._connections and not usage.is_begun:
            usage.begin(connection)

    def _record_reset(self) -> None:
        """Record that the server reset a connection before any use of it."""
        now_ms = self._clock.now_ms()
        self._resets_until_ms = now_ms + _RESET_MEMORY_MS
        self._server.record_lost(now_ms)
        entry = self._server.entry
        self._event_log.record("Reset a connection", entry.server_id, entry.service)
        if not self.size:
            self._fail_waiting(ExchangeErrorKind.CONNECT_FAILED)

    def _record_unreachable(self, error: Exception) -> None:
        entry = self._server.entry
        reason = getattr(error, "strerror", None) or type(error).__name__
        event = f"Unreachable, {reason}"
        self._event_log.record(event, entry.server_id, entry.service, is_fault=True)
        self._server.record_unreachable(self._clock.now_ms())
        if not self.size:
            self._fail_waiting(ExchangeErrorKind.CONNECT_FAILED)

    def _fail_waiting(self, kind: ExchangeErrorKind) -> None:
        waiting = list(self._waiting)
        self._waiting.clear()
        for exchange in waiting:
            exchange.fail(kind)

    def _on_idle(self, connection: ServerConnection) -> None:
        """Reuse an idle connection for the next exchange; keep or close it if none."""
        now_ms = self._clock.now_ms()
        while self._waiting and connection.is_idle and self._has_window(now_ms):
            exchange = self._next_waiting(connection, now_ms)
            if exchange is None:
                break
            index = self._waiting.index(exchange)
            del self._waiting[index]
            if exchange.has_ended:
                continue
            if self._send(connection, exchange, now_ms):
                return
            # It waits for another connection; this one is lost.
            self._waiting.insert(index, exchange)
            break
        if not connection.is_idle:
            return
        if self._is_closed or not self.keeps_idle:
            connection.close()
        else:
            self._idle.append(connection)
            if self._waiting and self._has_window(now_ms):
                self._find_connection(self._waiting[0])

    def _send(
        self, connection: ServerConnection, exchange: Exchange, now_ms: float
    ) -> bool:
        if not connection.is_idle or connection.expires_at_ms <= now_ms:
            connection.close()
            return False
        if not connection.send(exchange, now_ms):
            return False
        self._server.record_sent(now_ms)
        self._sent.add(exchange)
        self._connections[connection].append(exchange.request_id)

        def on_abandon(at_once: bool) -> None:
            if at_once:
                connection.close()
                self._replace(connection)
            else:
                self._nursery.start_soon(self._close_if_late, connection, exchange)

        exchange.on_abandon = on_abandon
        return True

    async def _close_if_late(
        self, connection: ServerConnection, exchange: Exchange
    ) -> None:
        """Close a connection unless an abandoned reply arrives in time."""
        wait_ms = max(_MIN_ABANDONED_MS, _ABANDONED_FACTOR * exchange.expected_ms)
        await self._clock.sleep_ms(wait_ms)
        if not exchange.has_ended:
            connection.close()
