"""The connection pool of one backend server."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from ibisfront.core.connection_slots import ConnectionSlots
from ibisfront.core.counters import CounterKind
from ibisfront.core.coverage import MissingReason
from ibisfront.core.query import SubRequestError
from ibisfront.core.server_health import ServerHealth

if TYPE_CHECKING:
    from ibisfront.core.backend_connection import BackendConnection, OpenConnection
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.query import SubReply, SubRequest
    from ibisfront.core.server_status import ServerStatuses
    from ibisfront.core.service import BackendServer
    from ibisfront.core.settings import QuerySettings

__all__ = ["BackendPool"]

_SILENCE_LATENCY_FACTOR = 10.0
_SINGLE_CONNECTION_FACTOR = 3.0


class _PooledConnection:
    """An open connection and the times of its last events."""

    __slots__ = ("answered_at_ms", "connection", "opened_at_ms", "sent_at_ms")

    def __init__(self, connection: BackendConnection, opened_at_ms: float) -> None:
        self.connection = connection
        self.opened_at_ms = opened_at_ms
        self.answered_at_ms = opened_at_ms
        self.sent_at_ms = math.inf


class BackendPool:
    """The connections to one backend server, and its observed health.

    Parameters
    ----------
    server : BackendServer
        The server.
    open_connection : callable
        Opens a connection to an address.
    clock : Clock
        The tier's clock.
    counters : Counters
        Counts connections.
    settings : QuerySettings
        Limits for health checking and silence detection.
    maximum_connections : int
        Maximum number of connections of this instance to the server.
    server_statuses : ServerStatuses, optional
        Notified when the server reports that it is draining or serves again.

    Attributes
    ----------
    server : BackendServer
        The server as last registered by operators.
    health : ServerHealth
        Health, as observed by this instance.
    maximum_connections : int
        Maximum number of connections of this instance to the server.
    retired_before_ms : float
        Connections opened before this time are not reused.
    suspected : bool
        Whether a probe is running because searches received no byte.
    """

    __slots__ = (
        "_busy",
        "_clock",
        "_counters",
        "_idle",
        "_open_connection",
        "_server_statuses",
        "_settings",
        "_slots",
        "health",
        "maximum_connections",
        "retired_before_ms",
        "server",
        "suspected",
    )

    def __init__(
        self,
        server: BackendServer,
        *,
        open_connection: OpenConnection,
        clock: Clock,
        counters: Counters,
        settings: QuerySettings,
        maximum_connections: int,
        server_statuses: ServerStatuses | None = None,
    ) -> None:
        self.server = server
        self.health = ServerHealth(settings)
        self.maximum_connections = maximum_connections
        self._open_connection = open_connection
        self._clock = clock
        self._counters = counters
        self._settings = settings
        self._server_statuses = server_statuses
        self._slots = ConnectionSlots(maximum_connections)
        self._idle: list[_PooledConnection] = []
        self._busy: set[_PooledConnection] = set()
        self.retired_before_ms = -math.inf
        self.suspected = False
        self._update_slot_limit()

    @property
    def in_flight(self) -> int:
        """The instance's sub-requests that are at the server or queued for it."""
        return self._slots.in_use + self._slots.waiting

    @property
    def open_connections(self) -> int:
        """The number of open connections, including idle ones."""
        return len(self._idle) + len(self._busy)

    @property
    def is_unused(self) -> bool:
        """Whether there are no sub-requests and no idle connections."""
        return not self.in_flight and not self._idle

    @property
    def is_draining(self) -> bool:
        """Whether the server is draining, as reported to this or another instance.

        The statuses are read at each choice. Polling them periodically would
        send the server new work until the next poll.
        """
        if self.health.is_draining(self._clock.now_ms()):
            return True
        return self._server_statuses is not None and self._server_statuses.is_draining(
            self.server
        )

    @property
    def silence_bound_ms(self) -> float:
        """How long a search may receive no byte before silence is suspected."""
        baseline_ms = self.health.latency_ms
        return max(
            self._settings.silence_bound_ms, _SILENCE_LATENCY_FACTOR * baseline_ms
        )

    def may_resend(self, sent_at_ms: float) -> bool:
        """Return whether a sub-request sent here may be sent to another server.

        It may once the server was ejected or the connection retired. A suspicion
        leads to one of the two whatever the probe's result, so a search that has
        waited for the silence bound need not wait for the probe as well.
        """
        if self.health.ejected or self.retired_before_ms > sent_at_ms:
            return True
        waited_ms = self._clock.now_ms() - sent_at_ms
        return self.suspected and waited_ms >= self.silence_bound_ms

    def is_silent_since(self, since_ms: float) -> bool:
        """Return whether the server is ejected and did not answer since `since_ms`."""
        return self.health.ejected and self.health.last_answer_at_ms < since_ms

    async def call(self, sub_request: SubRequest) -> SubReply:
        """Run one search on a connection of this pool.

        Non-idempotent requests use dedicated connections outside the pool.

        A connection is reused only after a complete reply that matches the
        sub-request. After a cancellation, a timeout or a mismatched reply it
        is closed, so that no late bytes reach another caller.

        Raises
        ------
        SubRequestError
            If there was no usable reply.
        """
        await self._slots.acquire(sub_request.branch, urgent=sub_request.urgent)
        try:
            self._check_sendable(sub_request)
            pooled = await self._acquire_connection()
            return await self._exchange(pooled, sub_request)
        except SubRequestError as error:
            self._record_error(error, sub_request.fingerprint)
            raise
        finally:
            self._slots.release()
            self._update_slot_limit()

    def set_maximum_connections(self, maximum_connections: int) -> None:
        """Set the maximum number of connections of this instance to the server."""
        self.maximum_connections = maximum_connections
        self._update_slot_limit()

    def is_suspect(self, bound_ms: float) -> bool:
        """Return whether open connections may have gone silent.

        They are suspected if a search received no byte for `bound_ms` and no
        connection that was open when it was sent has been answered since.
        Answers on newer connections prove nothing about older ones. A single
        silent connection among working ones is suspected after three times
        the bound.
        """
        current = [
            pooled
            for pooled in self._busy
            if pooled.opened_at_ms > self.retired_before_ms
        ]
        if not current:
            return False
        oldest_ms = min(pooled.sent_at_ms for pooled in current)
        waited_ms = self._clock.now_ms() - oldest_ms
        if waited_ms < bound_ms:
            return False
        any_older_answered = any(
            pooled.opened_at_ms <= oldest_ms < pooled.answered_at_ms
            for pooled in (*self._busy, *self._idle)
        )
        return (
            not any_older_answered or waited_ms >= _SINGLE_CONNECTION_FACTOR * bound_ms
        )

    async def probe(self) -> bool:
        """Return whether the server answers on a new connection within the timeout.

        If it answers while older connections were suspected, those are
        retired, see :meth:`retire_connections`.
        """
        with self._clock.timeout_ms(self._settings.probe_timeout_ms):
            try:
                connection = await self._open_connection(self.server.address)
            except SubRequestError:
                return False
            try:
                return await connection.probe()
            finally:
                await _close(connection)
        return False

    async def retire_connections(self) -> None:
        """Stop reusing the connections that are open now.

        Connections go silent permanently when a middlebox has dropped their
        state; none of the same age can be trusted. Busy connections are closed
        when their exchanges end, because a reply may still arrive.
        """
        self.retired_before_ms = self._clock.now_ms()
        retired, self._idle = self._idle, []
        for pooled in retired:
            await self._close_connection(pooled, "retired")

    async def close_idle(self, *, keep: int) -> None:
        """Close idle connections past the idle timeout or over the maximum.

        Parameters
        ----------
        keep : int
            Number of idle connections that stay open, if the maximum allows.
        """
        now_ms = self._clock.now_ms()
        keep = min(keep, self.maximum_connections - len(self._busy))
        surplus = [
            pooled
            for pooled in self._idle[: max(0, len(self._idle) - max(keep, 0))]
            if now_ms - pooled.answered_at_ms >= self._settings.idle_ms
            or self.open_connections > self.maximum_connections
        ]
        for pooled in surplus:
            self._idle.remove(pooled)
            await self._close_connection(pooled, "shed")

    async def warm(self, count: int) -> None:
        """Open a connection if fewer than `count` are open.

        Hedged requests and retries go to rarely used servers and would arrive
        too late if they had to open a connection first.
        """
        if self.open_connections >= min(count, self.maximum_connections):
            return
        try:
            pooled = await self._open()
        except SubRequestError as error:
            self._record_error(error, fingerprint="")
            return
        self._return_connection(pooled)

    async def aclose(self) -> None:
        """Close every idle connection."""
        while self._idle:
            await _close(self._idle.pop().connection)

    def _check_sendable(self, sub_request: SubRequest) -> None:
        now_ms = self._clock.now_ms()
        if now_ms >= sub_request.deadline_at_ms:
            raise SubRequestError(MissingReason.NO_BUDGET, not_run=True)
        # The server may have started draining while the sub-request was queued
        # for a connection; it must receive no new work then.
        if self.is_draining:
            raise SubRequestError(MissingReason.DRAINING, not_run=True)

    async def _exchange(
        self, pooled: _PooledConnection, sub_request: SubRequest
    ) -> SubReply:
        sent_at_ms = pooled.sent_at_ms = self._clock.now_ms()
        self._busy.add(pooled)
        keep = False
        try:
            reply = await pooled.connection.exchange("search", sub_request)
            keep = True
        except SubRequestError as error:
            keep = error.complete_reply
            raise
        except trio.Cancelled:
            now_ms = self._clock.now_ms()
            self.health.record_unanswered(now_ms - sent_at_ms, now_ms)
            raise
        finally:
            self._busy.discard(pooled)
            if keep and pooled.opened_at_ms > self.retired_before_ms:
                self._return_connection(pooled)
            else:
                await self._close_connection(pooled, "closed")
        now_ms = self._clock.now_ms()
        self.health.record_answer(
            reply,
            duration_ms=now_ms - sent_at_ms,
            in_flight=self.in_flight,
            now_ms=now_ms,
        )
        self._record_status(reply)
        return reply

    def _record_error(self, error: SubRequestError, fingerprint: str) -> None:
        self.health.record_error(
            error,
            fingerprint=fingerprint,
            in_flight=self._slots.in_use,
            now_ms=self._clock.now_ms(),
        )
        if error.draining and self._server_statuses is not None:
            self._server_statuses.record_draining(self.server)

    def _record_status(self, reply: SubReply) -> None:
        if self._server_statuses is None:
            return
        if reply.draining:
            self._server_statuses.record_draining(self.server)
        else:
            self._server_statuses.record_serving(self.server)

    def _return_connection(self, pooled: _PooledConnection) -> None:
        pooled.sent_at_ms = math.inf
        pooled.answered_at_ms = self._clock.now_ms()
        self._idle.append(pooled)

    async def _acquire_connection(self) -> _PooledConnection:
        while self._idle:
            pooled = self._idle.pop()
            if pooled.connection.is_usable():
                return pooled
            await self._close_connection(pooled, "closed")
        return await self._open()

    async def _open(self) -> _PooledConnection:
        connection = await self._open_connection(self.server.address)
        self._counters.add(CounterKind.CONNECTIONS, "opened")
        return _PooledConnection(connection, self._clock.now_ms())

    async def _close_connection(self, pooled: _PooledConnection, reason: str) -> None:
        self._counters.add(CounterKind.CONNECTIONS, reason)
        await _close(pooled.connection)

    def _update_slot_limit(self) -> None:
        # Slots are whole numbers: a window of 1.7 admits one sub-request.
        maximum = max(1, math.floor(min(self.maximum_connections, self.health.window)))
        self.health.window = min(self.health.window, float(self.maximum_connections))
        if maximum != self._slots.maximum:
            self._slots.maximum = maximum
            self._slots.grant_free_slots()


async def _close(connection: BackendConnection) -> None:
    # Closing must complete in a cancelled task as well; otherwise each
    # cancellation leaks the descriptor and the server's connection.
    with trio.CancelScope(shield=True):
        await connection.aclose()
