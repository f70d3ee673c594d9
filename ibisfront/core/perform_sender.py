"""Sending of non-idempotent requests, each on a new connection."""

from __future__ import annotations

import random
from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

from ibisfront.core.counters import CounterKind
from ibisfront.core.coverage import MissingReason
from ibisfront.core.errors import IbisfrontError
from ibisfront.core.quarantine import fingerprint_of
from ibisfront.core.query import SubRequest, SubRequestError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ibisfront.core.backend_connection import BackendConnection, OpenConnection
    from ibisfront.core.catalogue import Catalogue
    from ibisfront.core.claimed_run import ClaimedRun
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.quarantine import Quarantine
    from ibisfront.core.query import SubReply
    from ibisfront.core.server_status import ServerStatuses
    from ibisfront.core.service import BackendServer

__all__ = ["PerformSender"]

_CONNECT_TIMEOUT_MS = 500.0
_AVOID_AFTER_FAILURE_MS = 1_000.0


class _ServerState:
    """Connections and failures of this instance at one backend server."""

    __slots__ = ("avoid_until_ms", "connection_slots")

    def __init__(self, maximum_connections: int) -> None:
        self.connection_slots = trio.CapacityLimiter(maximum_connections)
        self.avoid_until_ms = 0.0


class PerformSender:
    """Sends claimed requests to backend servers.

    Each request uses a new connection. A pooled connection may be silent, or
    be closed by the server while the request is in transit, and the tier
    could not tell whether the request ran. A new connection costs a few
    milliseconds and shows before the first byte that the server is reachable.

    Parameters
    ----------
    catalogue : Catalogue
        The services in force.
    open_connection : callable
        Opens a connection to an address.
    clock : Clock
        The tier's clock.
    counters : Counters
        Counts the requests sent.
    zone : str
        This instance's availability zone; its servers are preferred.
    maximum_connections : int
        Maximum number of connections of this instance to a server.
    server_statuses : ServerStatuses, optional
        The draining servers, as reported to any instance.
    quarantine : Quarantine, optional
        The requests that crash the servers that run them.
    """

    __slots__ = (
        "_catalogue",
        "_clock",
        "_counters",
        "_maximum_connections",
        "_open_connection",
        "_quarantine",
        "_random",
        "_server_states",
        "_server_statuses",
        "_zone",
    )

    def __init__(
        self,
        *,
        catalogue: Catalogue,
        open_connection: OpenConnection,
        clock: Clock,
        counters: Counters,
        zone: str,
        maximum_connections: int,
        server_statuses: ServerStatuses | None = None,
        quarantine: Quarantine | None = None,
    ) -> None:
        self._catalogue = catalogue
        self._open_connection = open_connection
        self._clock = clock
        self._counters = counters
        self._zone = zone
        self._maximum_connections = maximum_connections
        self._server_states: dict[str, _ServerState] = {}
        self._random = random.Random(zone)
        self._server_statuses = server_statuses
        self._quarantine = quarantine

    async def send(self, run: ClaimedRun) -> SubReply:
        """Send a claimed request to one backend server; see ``SendOnce``.

        Raises
        ------
        SubRequestError
            If there was no usable reply.
        """
        server = self._choose_server(run)
        run.tried.add(server.name)
        async with self._server_state(server).connection_slots:
            connection = await self._connect(server)
            try:
                with self._quarantine_guard(run):
                    return await self._exchange(connection, server, run)
            finally:
                with trio.CancelScope(shield=True):
                    await connection.aclose()

    async def _exchange(
        self, connection: BackendConnection, server: BackendServer, run: ClaimedRun
    ) -> SubReply:
        sub_request = _sub_request(run)
        run.start_send()
        self._counters.add(CounterKind.SUB_REQUESTS, "perform")
        try:
            reply = await connection.exchange("perform", sub_request)
        except SubRequestError as error:
            self._record_error(error, server, run)
            raise
        if self._quarantine is not None:
            self._quarantine.record_answer(_fingerprint(run), run.purpose.service or "")
        return reply

    @contextmanager
    def _quarantine_guard(self, run: ClaimedRun) -> Iterator[None]:
        """Reject a quarantined request; allow one trial of it at a time.

        A key is sent only once, but its caller may send the same body again
        under a new key, and each copy could crash another server.

        Raises
        ------
        SubRequestError
            With ``not_run``, if the request is quarantined.
        """
        if self._quarantine is None:
            yield
            return
        fingerprint = _fingerprint(run)
        try:
            trial_service = self._quarantine.begin_trial(fingerprint)
        except IbisfrontError as error:
            raise SubRequestError(MissingReason.QUARANTINED, not_run=True) from error
        try:
            yield
        finally:
            if trial_service is not None:
                self._quarantine.end_trial(fingerprint)

    def _record_error(
        self, error: SubRequestError, server: BackendServer, run: ClaimedRun
    ) -> None:
        if error.reason is MissingReason.DRAINING and self._server_statuses is not None:
            self._server_statuses.record_draining(server)
        lost = error.reason is MissingReason.CONNECTION_LOST and not error.not_run
        if lost and self._quarantine is not None:
            service = run.purpose.service or ""
            self._quarantine.record_loss(_fingerprint(run), service, server.name)

    async def _connect(self, server: BackendServer) -> BackendConnection:
        try:
            with self._clock.timeout_ms(_CONNECT_TIMEOUT_MS):
                return await self._open_connection(server.address)
        except SubRequestError:
            self._avoid(server)
            raise
        self._avoid(server)
        raise SubRequestError(MissingReason.CONNECT_FAILED, not_run=True)

    def _avoid(self, server: BackendServer) -> None:
        until_ms = self._clock.now_ms() + _AVOID_AFTER_FAILURE_MS
        self._server_state(server).avoid_until_ms = until_ms

    def _choose_server(self, run: ClaimedRun) -> BackendServer:
        service = self._catalogue.service(run.purpose.service or "")
        servers = () if service is None else service.backend_servers
        candidates = [
            server
            for server in servers
            if server.name not in run.tried and self._accepts_work(server)
        ]
        if not candidates:
            raise SubRequestError(MissingReason.NO_SERVER, not_run=True)
        return min(candidates, key=self._rank)

    def _accepts_work(self, server: BackendServer) -> bool:
        # The platform's registry lags and may be unreachable; it may list a server
        # as live that has reported to another instance that it is draining.
        if self._server_statuses is not None and self._server_statuses.is_draining(
            server
        ):
            return False
        return server.state == "live"

    def _rank(self, server: BackendServer) -> tuple[bool, int, bool, float]:
        state = self._server_state(server)
        return (
            self._clock.now_ms() < state.avoid_until_ms,
            state.connection_slots.borrowed_tokens,
            server.zone != self._zone,
            self._random.random(),
        )

    def _server_state(self, server: BackendServer) -> _ServerState:
        state = self._server_states.get(server.name)
        if state is None:
            state = self._server_states[server.name] = _ServerState(
                self._maximum_connections
            )
        return state


def _fingerprint(run: ClaimedRun) -> str:
    return fingerprint_of(run.purpose.name, run.request.body_json)


def _sub_request(run: ClaimedRun) -> SubRequest:
    attempt_id = run.attempt.attempt_id
    number = f"{attempt_id.process}-{attempt_id.number}-{len(run.tried)}"
    return SubRequest(
        sub_request_id=f"{run.request.request_id}.{number}",
        service=run.purpose.service or "",
        body_json=run.request.body_json,
        deadline_at_ms=run.request.deadline_at_ms,
    )
