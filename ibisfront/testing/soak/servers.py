"""Backend servers of the soak: they sign what they ran, and remember it."""

from __future__ import annotations

import hashlib
import socket
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.gateway.messages import CallerReply
from ibisfront.gateway.state.configuration import CallerLimits
from ibisfront.http1.caller_listener import CallerListener
from ibisfront.http1.listening import listening_socket
from ibisfront.platform.headers import WIRE

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.types import Address
    from ibisfront.gateway.messages import InboundRequest
    from ibisfront.http1.parser import RawMessage

__all__ = ["RECORDS_A_PART", "Ran", "SoakServer", "part_records", "signature"]

RECORDS_A_PART = 4
_LIMITS = CallerLimits(idle_timeout_ms=30_000.0)
_EXPECTED = b"x-expect-instance"


class Ran(msgspec.Struct, frozen=True):
    """A request that a server ran."""

    request_id: str
    service: str
    server_id: str
    at_ms: float


def part_records(service: str, request_id: str) -> list[bytes]:
    """Return the records of a part, which any server of the service returns."""
    return [
        hashlib.blake2b(f"{service} {request_id} {n}".encode(), digest_size=16).digest()
        for n in range(RECORDS_A_PART)
    ]


def signature(service: str, request_id: str) -> str:
    """Return the signature of a good answer of a service to a request."""
    return f"{service}.{request_id}"


def _keeps_headers(raw: RawMessage, now_ms: float, network_ms: float) -> InboundRequest:
    """Decode a request with the headers that the tier sets itself."""
    request = WIRE.decode_request(raw, now_ms, network_ms)
    return msgspec.structs.replace(request, headers=raw.headers)


class SoakServer:
    """One backend server.

    Attributes
    ----------
    server_id, service : str
        Its incarnation's name, and its service.
    latency_ms : float
        How long a request takes.
    is_failing : bool
        Whether it answers with failures.
    ran : list of Ran
        What it ran, shared by all servers.
    """

    def __init__(
        self, server_id: str, service: str, *, ran: list[Ran], clock: Clock
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.latency_ms = 3.0
        self.is_failing = False
        self.ran = ran
        self._clock = clock
        self._sock: socket.socket = listening_socket("127.0.0.1:0")

    @property
    def address(self) -> Address:
        """Where it listens."""
        host, port = self._sock.getsockname()
        return f"{host}:{port}"

    async def run(self) -> None:
        """Serve until cancelled."""
        listener = CallerListener(
            self._sock,
            answer=self._answer,
            wire=msgspec.structs.replace(WIRE, decode_request=_keeps_headers),
            limits=lambda: _LIMITS,
            clock=self._clock,
        )
        await listener.run()

    async def _answer(self, request: InboundRequest) -> CallerReply:
        expected = dict(request.headers)
        named = [v for k, v in expected.items() if k.lower() == _EXPECTED]
        if named != [self.server_id.encode()]:
            return self._reply(421, request, b"", (b"X-Not-Executed", b"1"))
        self.ran.append(
            Ran(request.request_id, self.service, self.server_id, self._clock.now_ms())
        )
        await trio.sleep(self.latency_ms / 1000.0)
        if self.is_failing:
            return self._reply(500, request, b"failed")
        records = b"".join(part_records(self.service, request.request_id))
        return self._reply(200, request, records)

    def _reply(
        self,
        status: int,
        request: InboundRequest,
        body: bytes,
        *more: tuple[bytes, bytes],
    ) -> CallerReply:
        stamp = signature(self.service, request.request_id)
        headers = [
            (b"X-Request-Id", request.request_id.encode()),
            (b"X-Backend-Stamp", stamp.encode()),
            *more,
        ]
        return CallerReply(status, headers, body, "soak")
