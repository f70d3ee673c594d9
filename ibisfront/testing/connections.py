"""Connections to fake backend servers in the same process, without sockets.

They implement :class:`ibisfront.core.backend_pool.BackendConnection`, so that
tests run the whole query path under trio's mock clock.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.core.coverage import MissingReason
from ibisfront.core.query import SubReply, SubRequestError
from ibisfront.testing.backend_types import ConnectionLost, NotRun, WorkRequest

if TYPE_CHECKING:
    from ibisfront.core.backend_connection import Work
    from ibisfront.core.clock import Clock
    from ibisfront.core.query import SubRequest
    from ibisfront.core.types import Address
    from ibisfront.testing.backend_state import FakeBackend
    from ibisfront.testing.backend_types import BackendReply

__all__ = ["BackendNetwork", "FakeConnection"]

_REASONS_NOT_RUN = {
    NotRun.SHED: MissingReason.SHED,
    NotRun.DRAINING: MissingReason.DRAINING,
    NotRun.COLD: MissingReason.COLD,
}
_REASONS_BY_STATUS = {
    400: (MissingReason.REFUSED, True),
    409: (MissingReason.SNAPSHOT_GONE, True),
    504: (MissingReason.TIMED_OUT, False),
}


class BackendNetwork:
    """Network between one instance and the backend servers of a test.

    Parameters
    ----------
    clock : Clock
        The test's clock.

    Attributes
    ----------
    backends : dict of str to FakeBackend
        The servers, by address.
    opened : Counter
        Number of connections opened, by address.
    sent : Counter
        Number of sub-requests sent, by address.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.backends: dict[Address, FakeBackend] = {}
        self.opened: Counter[Address] = Counter()
        self.sent: Counter[Address] = Counter()
        self._connections: list[FakeConnection] = []
        self._refusing_until_ms: dict[Address, float] = {}

    def add(self, address: Address, backend: FakeBackend) -> None:
        """Register a server at an address."""
        self.backends[address] = backend

        def refuse_connections(down_ms: float) -> None:
            self._refusing_until_ms[address] = self.clock.now_ms() + down_ms

        backend.on_crash = refuse_connections

    def kill(self, address: Address) -> None:
        """Stop a server permanently: its requests are lost, connections refused."""
        self.backends[address].crash()
        self._refusing_until_ms[address] = math.inf

    def silence(self, address: Address) -> None:
        """Make the open connections to a server permanently silent."""
        for connection in self._connections:
            if connection.address == address:
                connection.silent = True

    def open_to(self, address: Address) -> list[FakeConnection]:
        """Return the open connections to an address."""
        return [
            connection
            for connection in self._connections
            if connection.address == address and not connection.closed
        ]

    async def open_connection(self, address: Address) -> FakeConnection:
        """Open a connection; see ``OpenConnection``."""
        backend = self.backends[address]
        await self.clock.sleep_ms(backend.settings.accept_ms)
        if self.clock.now_ms() < self._refusing_until_ms.get(address, 0.0):
            raise SubRequestError(MissingReason.CONNECT_FAILED, not_run=True)
        self.opened[address] += 1
        connection = FakeConnection(address, backend, self)
        self._connections.append(connection)
        return connection


class FakeConnection:
    """One connection to a fake backend server."""

    def __init__(
        self, address: Address, backend: FakeBackend, network: BackendNetwork
    ) -> None:
        self.address = address
        self.silent = False
        self.closed = False
        self.exchanges = 0
        self._backend = backend
        self._network = network

    async def exchange(self, work: Work, sub_request: SubRequest) -> SubReply:
        """Run one exchange; see ``BackendConnection``."""
        self.exchanges += 1
        self._network.sent[self.address] += 1
        request = self._work_request(sub_request)
        if self.silent:
            await trio.sleep_forever()
        run = self._backend.search if work == "search" else self._backend.perform
        try:
            reply = await run(request)
        except ConnectionLost:
            raise SubRequestError(
                MissingReason.CONNECTION_LOST, not_run=False
            ) from None
        if self.silent:
            await trio.sleep_forever()
        return _to_sub_reply(reply, sub_request)

    async def probe(self) -> bool:
        """Run a liveness probe; see ``BackendConnection``."""
        if self.silent:
            await trio.sleep_forever()
        try:
            await self._backend.healthz()
        except ConnectionLost:
            return False
        return True

    def is_usable(self) -> bool:
        """Return whether another exchange may start."""
        return not self.closed

    async def aclose(self) -> None:
        """Close the connection."""
        self.closed = True

    def _work_request(self, sub_request: SubRequest) -> WorkRequest:
        remaining_ms = sub_request.deadline_at_ms - self._network.clock.now_ms()
        return WorkRequest(
            service=sub_request.service,
            request=msgspec.json.decode(sub_request.body_json),
            request_id=sub_request.sub_request_id,
            deadline_ms=max(0.0, remaining_ms),
            snapshot=sub_request.snapshot,
        )


def _to_sub_reply(reply: BackendReply, sub_request: SubRequest) -> SubReply:
    if reply.request_id != sub_request.sub_request_id:
        raise SubRequestError(MissingReason.WRONG_REPLY, not_run=False)
    if reply.status == 200:
        body = msgspec.json.encode(reply.body)
        return SubReply(body, reply.snapshots, reply.draining)
    reason, not_run = _REASONS_BY_STATUS.get(
        reply.status, (MissingReason.SERVER_ERROR, False)
    )
    if reply.not_run is not None:
        reason, not_run = _REASONS_NOT_RUN[reply.not_run], True
    raise SubRequestError(
        reason,
        not_run=not_run,
        retry_after_ms=reply.retry_after_ms,
        draining=reply.draining,
        snapshots=reply.snapshots,
        complete_reply=True,
    )
