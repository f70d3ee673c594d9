"""Sending non-idempotent requests, each on a connection of its own."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from ibisfront.core.counters import CounterKind
from ibisfront.core.coverage import MissingReason
from ibisfront.core.query import SubRequest, SubRequestError

if TYPE_CHECKING:
    from ibisfront.core.catalogue import Catalogue
    from ibisfront.core.claimed_run import ClaimedRun
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.link import BackendConnection, OpenConnection
    from ibisfront.core.query import SubReply
    from ibisfront.core.service import BackendServer

__all__ = ["PerformSender"]

_CONNECT_TIMEOUT_MS = 500.0
_AVOID_AFTER_FAILURE_MS = 1_000.0


class _ServerUse:
    """What this instance has at one backend server."""

    __slots__ = ("avoid_until_ms", "places")

    def __init__(self, maximum_connections: int) -> None:
        self.places = trio.CapacityLimiter(maximum_connections)
        self.avoid_until_ms = 0.0


class PerformSender:
    """Sends claimed requests to backend servers.

    A kept connection may have gone silent, or be closed by the server just
    when the request is on its way, and the tier could not tell whether it
    ran. A fresh one costs a few milliseconds and shows before the first byte
    that the server is there.

    Parameters
    ----------
    catalogue : Catalogue
        The services in force.
    open_connection : callable
        Opens a connection to an address.
    clock : Clock
        The tier's clock.
    counters : Counters
        Where sends are counted.
    zone : str
        This instance's availability zone; its servers go first.
    maximum_connections : int
        How many connections this instance may hold to a server.
    """

    __slots__ = (
        "_catalogue",
        "_clock",
        "_counters",
        "_maximum_connections",
        "_open_connection",
        "_random",
        "_uses",
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
    ) -> None:
        self._catalogue = catalogue
        self._open_connection = open_connection
        self._clock = clock
        self._counters = counters
        self._zone = zone
        self._maximum_connections = maximum_connections
        self._uses: dict[str, _ServerUse] = {}
        self._random = random.Random(zone)

    async def send(self, run: ClaimedRun) -> SubReply:
        """Send a claimed request to one backend server; see ``RunOnce``."""
        server = self._choose(run)
        run.tried.add(server.name)
        async with self._use(server).places:
            connection = await self._connect(server)
            try:
                sub_request = _sub_request(run)
                run.start_send()
                self._counters.add(CounterKind.SUB_REQUESTS, "perform")
                return await connection.exchange("perform", sub_request)
            finally:
                with trio.CancelScope(shield=True):
                    await connection.aclose()

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
        self._use(server).avoid_until_ms = until_ms

    def _choose(self, run: ClaimedRun) -> BackendServer:
        service = self._catalogue.service(run.purpose.service or "")
        servers = () if service is None else service.backend_servers
        left = [
            server
            for server in servers
            if server.state == "live" and server.name not in run.tried
        ]
        if not left:
            raise SubRequestError(MissingReason.NO_SERVER, not_run=True)
        return min(left, key=self._rank)

    def _rank(self, server: BackendServer) -> tuple[bool, int, bool, float]:
        use = self._use(server)
        return (
            self._clock.now_ms() < use.avoid_until_ms,
            use.places.borrowed_tokens,
            server.zone != self._zone,
            self._random.random(),
        )

    def _use(self, server: BackendServer) -> _ServerUse:
        use = self._uses.get(server.name)
        if use is None:
            use = self._uses[server.name] = _ServerUse(self._maximum_connections)
        return use


def _sub_request(run: ClaimedRun) -> SubRequest:
    attempt_id = run.attempt.attempt_id
    number = f"{attempt_id.process}-{attempt_id.number}-{len(run.tried)}"
    return SubRequest(
        sub_request_id=f"{run.request.request_id}.{number}",
        service=run.purpose.service or "",
        body_json=run.request.body_json,
        deadline_at_ms=run.request.deadline_at_ms,
    )
