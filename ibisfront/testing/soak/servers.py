"""Backend servers of the soak, which sign and record what they execute."""

from __future__ import annotations

import hashlib
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.gateway.messages import CallerReply
from ibisfront.gateway.state.configuration import CallerLimits
from ibisfront.http1.caller_listener import CallerListener
from ibisfront.http1.listening import listening_socket
from ibisfront.platform.headers import WIRE
from ibisfront.testing.soak.callers import RequestPath
from ibisfront.testing.soak.workspaces import KEY_PREFIX

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.types import Address
    from ibisfront.gateway.messages import InboundRequest
    from ibisfront.http1.parser import RawMessage

__all__ = [
    "RECORDS_PER_PART",
    "Execution",
    "ServerRecords",
    "SoakServer",
    "part_records",
    "signature",
]

RECORDS_PER_PART = 4
_LIMITS = CallerLimits(idle_timeout_ms=30_000.0)
_EXPECTED_SERVER_HEADER = b"x-expect-instance"
_WORKSPACE_HEADER = b"x-tenant-id"


class Execution(msgspec.Struct, frozen=True):
    """One execution of a request by a server, or its arrival there.

    Attributes
    ----------
    request_id, service, server_id : str
        The request, the service and the server.
    at_ms : float
        When it arrived.
    workspace : str
        Workspace that the request was sent for; several are joined with commas.
    has_key : bool
        Whether the request contained a caller's key.
    """

    request_id: str
    service: str
    server_id: str
    at_ms: float
    workspace: str = ""
    has_key: bool = False


class ServerRecords(msgspec.Struct):
    """What all servers of a run have seen, in order of time.

    Attributes
    ----------
    arrivals : list of Execution
        Requests that reached a server, including those that it rejected.
    executions : list of Execution
        Requests that a server executed.
    """

    arrivals: list[Execution] = []
    executions: list[Execution] = []


def part_records(service: str, request_id: str) -> list[bytes]:
    """Return the records of a part, the same from any server of the service."""
    return [
        hashlib.blake2b(f"{service} {request_id} {n}".encode(), digest_size=16).digest()
        for n in range(RECORDS_PER_PART)
    ]


def signature(service: str, request_id: str) -> str:
    """Return the stamp of a service's correct response to a request."""
    return f"{service}.{request_id}"


def _decode_with_all_headers(
    raw: RawMessage, now_ms: float, network_ms: float
) -> InboundRequest:
    """Decode a request and keep the headers that the tier sets itself."""
    request = WIRE.decode_request(raw, now_ms, network_ms)
    return msgspec.structs.replace(request, headers=raw.headers)


def _workspace_of(request: InboundRequest) -> str:
    names = [v for k, v in request.headers if k.lower() == _WORKSPACE_HEADER]
    return b",".join(names).decode(errors="replace")


def _has_key(request: InboundRequest) -> bool:
    """Return whether a key stands in any header or in the body."""
    prefix = KEY_PREFIX.encode()
    return any(prefix in value for _, value in request.headers) or (
        prefix in request.body
    )


class SoakServer:
    """One backend server.

    Attributes
    ----------
    server_id, service : str
        Id of this incarnation, and its service.
    latency_ms : float
        Processing time of a request.
    is_failing : bool
        Whether it responds with status 500.
    is_rejecting : bool
        Whether it rejects requests without running them, as with a full queue.
    records : ServerRecords
        Arrivals and executions, shared by all servers.
    on_crash : callable
        Called when a request crashes it.
    """

    def __init__(
        self, server_id: str, service: str, *, records: ServerRecords, clock: Clock
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.latency_ms = 3.0
        self.is_failing = False
        self.is_rejecting = False
        self.records = records
        self.on_crash: Callable[[], None] = lambda: None
        self._clock = clock
        self._sock: socket.socket = listening_socket("127.0.0.1:0")

    @property
    def address(self) -> Address:
        """Address it listens on."""
        host, port = self._sock.getsockname()
        return f"{host}:{port}"

    async def run(self) -> None:
        """Serve until cancelled."""
        listener = CallerListener(
            self._sock,
            answer=self._respond,
            wire=msgspec.structs.replace(WIRE, decode_request=_decode_with_all_headers),
            limits=lambda: _LIMITS,
            clock=self._clock,
        )
        await listener.run()

    async def _respond(self, request: InboundRequest) -> CallerReply:
        seen = Execution(
            request.request_id,
            self.service,
            self.server_id,
            self._clock.now_ms(),
            workspace=_workspace_of(request),
            has_key=_has_key(request),
        )
        self.records.arrivals.append(seen)
        headers = dict(request.headers)
        expected_ids = [
            v for k, v in headers.items() if k.lower() == _EXPECTED_SERVER_HEADER
        ]
        if expected_ids != [self.server_id.encode()]:
            return self._reply(421, request, b"", (b"X-Not-Executed", b"1"))
        if self.is_rejecting:
            return self._reply(503, request, b"", (b"X-Not-Executed", b"1"))
        self.records.executions.append(seen)
        if request.path == RequestPath.CRASH:
            self.on_crash()
            await trio.sleep_forever()
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
        *extra_headers: tuple[bytes, bytes],
    ) -> CallerReply:
        stamp = signature(self.service, request.request_id)
        headers = [
            (b"X-Request-Id", request.request_id.encode()),
            (b"X-Backend-Stamp", stamp.encode()),
            *extra_headers,
        ]
        return CallerReply(status, headers, body, "soak")
