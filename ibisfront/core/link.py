"""A link to one backend server, and the connections that it owns."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from ibisfront.core.connections import ConnectionPlaces
from ibisfront.core.counters import CounterKind
from ibisfront.core.coverage import MissingReason
from ibisfront.core.query import SubRequestError
from ibisfront.core.server_health import ServerHealth

if TYPE_CHECKING:
    from ibisfront.core.backend_connection import BackendConnection, OpenConnection
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.query import SubReply, SubRequest
    from ibisfront.core.server_signs import ServerSigns
    from ibisfront.core.service import BackendServer
    from ibisfront.core.settings import QuerySettings

__all__ = ["BackendLink"]

_SILENCE_FACTOR = 10.0
_LONE_SILENCE_FACTOR = 3.0


class _HeldConnection:
    """An open connection and since when it is what it is."""

    __slots__ = ("answered_at_ms", "connection", "opened_at_ms", "sent_at_ms")

    def __init__(self, connection: BackendConnection, opened_at_ms: float) -> None:
        self.connection = connection
        self.opened_at_ms = opened_at_ms
        self.answered_at_ms = opened_at_ms
        self.sent_at_ms = math.inf


class BackendLink:
    """What this instance knows and holds of one backend server.

    Parameters
    ----------
    server : BackendServer
        The server.
    open_connection : callable
        Opens a connection to an address.
    clock : Clock
        The tier's clock.
    counters : Counters
        Where connections are counted.
    settings : QuerySettings
        Bounds of health and silence.
    maximum_connections : int
        How many connections this instance may hold to the server.
    signs : ServerSigns, optional
        Who is told when the server says that it leaves, or serves again.

    Attributes
    ----------
    server : BackendServer
        The server as operators registered it last.
    health : ServerHealth
        What was seen of it.
    share : int
        How many connections this instance may hold.
    retired_before_ms : float
        Connections opened before are not used again.
    suspected : bool
        Whether a probe is under way because searches here got no byte.
    """

    __slots__ = (
        "_busy",
        "_clock",
        "_counters",
        "_idle",
        "_open_connection",
        "_places",
        "_settings",
        "_signs",
        "health",
        "retired_before_ms",
        "server",
        "share",
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
        signs: ServerSigns | None = None,
    ) -> None:
        self.server = server
        self.health = ServerHealth(settings)
        self.share = maximum_connections
        self._open_connection = open_connection
        self._clock = clock
        self._counters = counters
        self._settings = settings
        self._signs = signs
        self._places = ConnectionPlaces(maximum_connections)
        self._idle: list[_HeldConnection] = []
        self._busy: set[_HeldConnection] = set()
        self.retired_before_ms = -math.inf
        self.suspected = False
        self._fit_places()

    @property
    def in_flight(self) -> int:
        """The sub-requests that this instance has at the server or waiting."""
        return self._places.held + self._places.waiting

    @property
    def open_connections(self) -> int:
        """The connections that this instance holds, idle ones included."""
        return len(self._idle) + len(self._busy)

    @property
    def is_unused(self) -> bool:
        """Whether nothing is held or waits here."""
        return not self.in_flight and not self._idle

    @property
    def is_leaving(self) -> bool:
        """Whether the server is to get no new work, whoever heard that it leaves.

        The signs are asked at each choice. Following them now and then would
        go on sending work for as long as the next look is away.
        """
        if self.health.is_draining(self._clock.now_ms()):
            return True
        return self._signs is not None and self._signs.is_leaving(self.server)

    @property
    def silence_bound_ms(self) -> float:
        """How long a search may be without a byte before that is a sign."""
        usual_ms = self.health.latency_ms
        return max(self._settings.silence_bound_ms, _SILENCE_FACTOR * usual_ms)

    def is_given_up(self, sent_at_ms: float) -> bool:
        """Return whether what was sent here may be asked for elsewhere.

        That is so once its server was ejected or its connection retired. A
        suspicion comes to one or the other whatever the probe finds, so a
        search that has waited for the bound need not wait for the probe too.
        """
        if self.health.ejected or self.retired_before_ms > sent_at_ms:
            return True
        waited_ms = self._clock.now_ms() - sent_at_ms
        return self.suspected and waited_ms >= self.silence_bound_ms

    def is_silent_since(self, since_ms: float) -> bool:
        """Return whether the server was ejected and answered nothing since."""
        return self.health.ejected and self.health.last_answer_at_ms < since_ms

    async def call(self, sub_request: SubRequest) -> SubReply:
        """Run one search on a connection of this link.

        Non-idempotent requests take connections of their own elsewhere.

        A connection goes back to the idle ones only after a whole reply that
        belongs to the sub-request; after a cancellation, a time-out or a
        wrong reply it is closed, so that no late bytes reach another caller.

        Raises
        ------
        SubRequestError
            If there was no usable reply.
        """
        await self._places.acquire(sub_request.branch, urgent=sub_request.urgent)
        try:
            self._check_still_wanted(sub_request)
            held = await self._take_connection()
            return await self._exchange(held, sub_request)
        except SubRequestError as error:
            self._note_error(error, sub_request.fingerprint)
            raise
        finally:
            self._places.release()
            self._fit_places()

    def set_share(self, share: int) -> None:
        """Change how many connections this instance may hold."""
        self.share = share
        self._fit_places()

    def is_suspect(self, bound_ms: float) -> bool:
        """Return whether open connections may have gone silent.

        The sign is a search without a byte for the bound, while no connection
        that was open when it was sent has been answered since; answers on
        newer ones say nothing of the old. A single connection that is silent
        among others that work is suspected after three times the bound.
        """
        trusted = [
            held for held in self._busy if held.opened_at_ms > self.retired_before_ms
        ]
        if not trusted:
            return False
        oldest_ms = min(held.sent_at_ms for held in trusted)
        waited_ms = self._clock.now_ms() - oldest_ms
        if waited_ms < bound_ms:
            return False
        old_answered = any(
            held.opened_at_ms <= oldest_ms < held.answered_at_ms
            for held in (*self._busy, *self._idle)
        )
        return not old_answered or waited_ms >= _LONE_SILENCE_FACTOR * bound_ms

    async def probe(self) -> bool:
        """Ask a fresh connection whether the server answers, in bounded time.

        The connections opened before are retired if it answers while they
        were suspected, see :meth:`retire_connections`.
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
        """Use no connection again that is open now.

        Connections go silent for good when something between the ends has
        lost track of them; none that is as old can be trusted. The busy ones
        are closed when their exchanges end, in case a reply still comes.
        """
        self.retired_before_ms = self._clock.now_ms()
        retired, self._idle = self._idle, []
        for held in retired:
            await self._close_held(held, "retired")

    async def shed_idle(self, *, keep: int) -> None:
        """Close connections that were idle for long, but keep a few warm."""
        now_ms = self._clock.now_ms()
        keep = min(keep, self.share - len(self._busy))
        shed = [
            held
            for held in self._idle[: max(0, len(self._idle) - max(keep, 0))]
            if now_ms - held.answered_at_ms >= self._settings.idle_ms
            or self.open_connections > self.share
        ]
        for held in shed:
            self._idle.remove(held)
            await self._close_held(held, "shed")

    async def warm(self, count: int) -> None:
        """Open a connection if fewer than a few are open.

        Hedged requests and retries go to servers that are seldom asked; they
        would come too late if they had to wait for a connection first.
        """
        if self.open_connections >= min(count, self.share):
            return
        try:
            held = await self._open()
        except SubRequestError as error:
            self._note_error(error, fingerprint="")
            return
        self._put_back(held)

    async def aclose(self) -> None:
        """Close every idle connection."""
        while self._idle:
            await _close(self._idle.pop().connection)

    def _check_still_wanted(self, sub_request: SubRequest) -> None:
        now_ms = self._clock.now_ms()
        if now_ms >= sub_request.deadline_at_ms:
            raise SubRequestError(MissingReason.NO_BUDGET, not_run=True)
        # The server may have begun to leave while the sub-request queued for
        # a connection; it must receive no new work then.
        if self.is_leaving:
            raise SubRequestError(MissingReason.DRAINING, not_run=True)

    async def _exchange(
        self, held: _HeldConnection, sub_request: SubRequest
    ) -> SubReply:
        sent_at_ms = held.sent_at_ms = self._clock.now_ms()
        self._busy.add(held)
        keep = False
        try:
            reply = await held.connection.exchange("search", sub_request)
            keep = True
        except SubRequestError as error:
            keep = error.complete_reply
            raise
        except trio.Cancelled:
            now_ms = self._clock.now_ms()
            self.health.note_unanswered(now_ms - sent_at_ms, now_ms)
            raise
        finally:
            self._busy.discard(held)
            if keep and held.opened_at_ms > self.retired_before_ms:
                self._put_back(held)
            else:
                await self._close_held(held, "closed")
        now_ms = self._clock.now_ms()
        self.health.note_answer(
            reply,
            duration_ms=now_ms - sent_at_ms,
            in_flight=self.in_flight,
            now_ms=now_ms,
        )
        self._note_sign(reply)
        return reply

    def _note_error(self, error: SubRequestError, fingerprint: str) -> None:
        self.health.note_error(
            error,
            fingerprint=fingerprint,
            in_flight=self._places.held,
            now_ms=self._clock.now_ms(),
        )
        if error.draining and self._signs is not None:
            self._signs.note_draining(self.server)

    def _note_sign(self, reply: SubReply) -> None:
        if self._signs is None:
            return
        if reply.draining:
            self._signs.note_draining(self.server)
        else:
            self._signs.note_serving(self.server)

    def _put_back(self, held: _HeldConnection) -> None:
        held.sent_at_ms = math.inf
        held.answered_at_ms = self._clock.now_ms()
        self._idle.append(held)

    async def _take_connection(self) -> _HeldConnection:
        while self._idle:
            held = self._idle.pop()
            if held.connection.is_usable():
                return held
            await self._close_held(held, "closed")
        return await self._open()

    async def _open(self) -> _HeldConnection:
        connection = await self._open_connection(self.server.address)
        self._counters.add(CounterKind.CONNECTIONS, "opened")
        return _HeldConnection(connection, self._clock.now_ms())

    async def _close_held(self, held: _HeldConnection, reason: str) -> None:
        self._counters.add(CounterKind.CONNECTIONS, reason)
        await _close(held.connection)

    def _fit_places(self) -> None:
        # Whole places: a window of 1.7 lets one sub-request through.
        maximum = max(1, math.floor(min(self.share, self.health.window)))
        self.health.window = min(self.health.window, float(self.share))
        if maximum != self._places.maximum:
            self._places.maximum = maximum
            self._places.hand_out()


async def _close(connection: BackendConnection) -> None:
    # Closing must go through in a cancelled task too, or the descriptor and
    # the server's connection leak with each cancellation.
    with trio.CancelScope(shield=True):
        await connection.aclose()
