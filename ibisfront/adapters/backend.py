"""Connections to backend servers, over HTTP by ``httpcore``."""

from __future__ import annotations

import math
import socket
from typing import TYPE_CHECKING

import httpcore
import msgspec

from ibisfront.adapters.backend_stream import open_stream
from ibisfront.core.coverage import MissingReason
from ibisfront.core.query import SubReply, SubRequestError

if TYPE_CHECKING:
    from ibisfront.core.backend_connection import OpenConnection, Work
    from ibisfront.core.clock import Clock
    from ibisfront.core.query import SubRequest
    from ibisfront.core.settings import BackendSettings
    from ibisfront.core.types import Address

__all__ = ["HttpBackendConnection", "connection_opener"]

_OK = 200
_RAN_AND_FAILED = 500
_PROBE_TARGET = b"/healthz"
_MILLISECONDS_PER_SECOND = 1000.0
_KEEP_ALIVE_IDLE_S = 5
_KEEP_ALIVE_INTERVAL_S = 1
_KEEP_ALIVE_PROBES = 3
_NOT_RUN_REASONS = {
    b"shed": MissingReason.SHED,
    b"draining": MissingReason.DRAINING,
    b"cold": MissingReason.COLD,
}
_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class _RequestBody(msgspec.Struct):
    """The request body of a backend server."""

    service: str
    request: msgspec.Raw


class _ReplyHeaders:
    """The headers of a reply.

    Parameters
    ----------
    headers : list of tuple of bytes
        Names and values as ``httpcore`` returns them.
    """

    __slots__ = ("_values",)

    def __init__(self, headers: list[tuple[bytes, bytes]]) -> None:
        self._values = {name.lower(): value for name, value in headers}

    @property
    def request_id(self) -> bytes:
        """The echoed request id; empty if there is none."""
        return self._values.get(b"x-request-id", b"")

    @property
    def draining(self) -> bool:
        """Whether the server reports that it is draining."""
        return b"x-draining" in self._values

    @property
    def snapshots(self) -> tuple[str, ...]:
        """The snapshots that the server reports to hold."""
        value = self._values.get(b"x-snapshots", b"").decode("latin-1")
        return tuple(name.strip() for name in value.split(",") if name.strip())

    @property
    def not_run(self) -> MissingReason | None:
        """Why the server did not run the request; None if it gives no reason."""
        return _NOT_RUN_REASONS.get(self._values.get(b"x-not-run", b""))

    @property
    def retry_after_ms(self) -> float | None:
        """After how long the server allows a retry; None if it does not say."""
        value = self._values.get(b"retry-after-ms")
        return float(value) if value is not None and value.isdigit() else None


class HttpBackendConnection:
    """One HTTP/1.1 connection to a backend server.

    Parameters
    ----------
    address : str
        The server's ``IP:PORT``.
    connection : httpcore.AsyncHTTP11Connection
        The open connection; ownership is transferred.
    clock : Clock
        The tier's clock.
    """

    __slots__ = ("_clock", "_connection", "_is_new", "_url")

    def __init__(
        self,
        address: Address,
        connection: httpcore.AsyncHTTP11Connection,
        clock: Clock,
    ) -> None:
        self._connection = connection
        self._clock = clock
        self._is_new = True
        self._url = _url(address)

    async def exchange(self, work: Work, sub_request: SubRequest) -> SubReply:
        """Send a sub-request and return its reply; see ``BackendConnection``."""
        self._is_new = False
        try:
            response = await self._connection.handle_async_request(
                self._request(work, sub_request)
            )
            body = await response.aread()
            # Without this the connection never becomes idle, and each
            # sub-request opens a new one.
            await response.aclose()
        except _CONNECTION_ERRORS as error:
            raise SubRequestError(
                MissingReason.CONNECTION_LOST, not_run=False
            ) from error
        headers = _ReplyHeaders(response.headers)
        # A late or misdirected reply to another sub-request carries that one's
        # id. It must not reach this caller; the pool closes the connection
        # after the error, so no later sub-request receives it either.
        if headers.request_id != sub_request.sub_request_id.encode():
            raise SubRequestError(MissingReason.WRONG_REPLY, not_run=False)
        if response.status != _OK:
            raise _rejection_error(response.status, headers)
        return SubReply(body, headers.snapshots, headers.draining)

    async def probe(self) -> bool:
        """Return whether the server responds; see ``BackendConnection``."""
        self._is_new = False
        request = httpcore.Request(
            b"GET",
            httpcore.URL(
                scheme=b"http",
                host=self._url.host,
                port=self._url.port,
                target=_PROBE_TARGET,
            ),
            headers=[(b"Host", self._url.host)],
        )
        try:
            response = await self._connection.handle_async_request(request)
            await response.aread()
            await response.aclose()
        except _CONNECTION_ERRORS:
            return False
        return response.status == _OK

    def is_usable(self) -> bool:
        """Return whether the connection is open, idle and has no unread bytes.

        A duplicated reply leaves unsolicited bytes, either in the socket or
        read along with the first copy. They would be mistaken for the reply to
        the next sub-request.

        httpcore reports a connection as idle only after its first exchange. A
        connection that was opened in advance is usable too, unless it is
        readable, which means that the server has closed it.
        """
        if self._is_new:
            stream = self._connection._network_stream
            return not stream.get_extra_info("is_readable")
        if not self._connection.is_idle() or self._connection.has_expired():
            return False
        leftover, _ = self._connection._h11_state.trailing_data
        return not leftover

    async def aclose(self) -> None:
        """Close the connection at once."""
        self._is_new = False
        await self._connection.aclose()

    def _request(self, work: Work, sub_request: SubRequest) -> httpcore.Request:
        remaining_ms = sub_request.deadline_at_ms - self._clock.now_ms()
        body = msgspec.json.encode(
            _RequestBody(sub_request.service, msgspec.Raw(sub_request.body_json))
        )
        headers = [
            (b"Host", self._url.host),
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(body)).encode()),
            (b"X-Request-Id", sub_request.sub_request_id.encode()),
            (b"X-Deadline-Ms", str(max(0, math.floor(remaining_ms))).encode()),
        ]
        if sub_request.snapshot is not None:
            headers.append((b"X-Snapshot", sub_request.snapshot.encode()))
        return httpcore.Request(
            b"POST",
            httpcore.URL(
                scheme=b"http",
                host=self._url.host,
                port=self._url.port,
                target=b"/" + work.encode(),
            ),
            headers=headers,
            content=body,
        )


def connection_opener(
    clock: Clock, settings: BackendSettings, *, outgoing_ip: str | None = None
) -> OpenConnection:
    """Return a function that opens connections to backend servers.

    Connecting is separate from sending, so that a failure to connect proves
    that the sub-request did not run.
    """
    options = _socket_options(settings)
    timeout_s = settings.connect_timeout_ms / _MILLISECONDS_PER_SECOND

    async def open_connection(address: Address) -> HttpBackendConnection:
        try:
            # The resolver takes a port modulo 65536, so an invalid one could
            # reach another server; the address is checked first.
            origin = _url(address).origin
            stream = await open_stream(
                address,
                timeout_s=timeout_s,
                outgoing_ip=outgoing_ip,
                options=options,
            )
        except (OSError, ValueError, OverflowError) as error:
            # An entry edited by hand in the platform may have a malformed
            # address, which raises ValueError here. It may cost the service's
            # rows, but must not fail the whole search.
            raise SubRequestError(MissingReason.CONNECT_FAILED, not_run=True) from error
        connection = httpcore.AsyncHTTP11Connection(origin, stream)
        return HttpBackendConnection(address, connection, clock)

    return open_connection


def _socket_options(settings: BackendSettings) -> list[tuple[int, int, int]]:
    """Return options that let the kernel detect dead connections.

    If the network drops a connection's packets, nothing is acknowledged: the
    user timeout closes it while data is in flight, the keep-alive while it is
    idle. Neither detects a server that acknowledges but never replies; the
    pools probe for that.
    """
    tcp = socket.IPPROTO_TCP
    options = [
        (tcp, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    ]
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        options += [
            (tcp, socket.TCP_USER_TIMEOUT, settings.silent_timeout_ms),
            (tcp, socket.TCP_KEEPIDLE, _KEEP_ALIVE_IDLE_S),
            (tcp, socket.TCP_KEEPINTVL, _KEEP_ALIVE_INTERVAL_S),
            (tcp, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES),
        ]
    return options


def _url(address: Address) -> httpcore.URL:
    return httpcore.URL(f"http://{address}/")


def _rejection_error(status: int, headers: _ReplyHeaders) -> SubRequestError:
    reason, not_run = _reason(status, headers)
    return SubRequestError(
        reason,
        not_run=not_run,
        retry_after_ms=headers.retry_after_ms,
        draining=headers.draining,
        snapshots=headers.snapshots,
        complete_reply=True,
        ran=status == _RAN_AND_FAILED,
    )


def _reason(status: int, headers: _ReplyHeaders) -> tuple[MissingReason, bool]:
    if status == 503 and headers.not_run is not None:
        return headers.not_run, True
    if status == 409:
        return MissingReason.SNAPSHOT_GONE, True
    if status == 400:
        return MissingReason.REFUSED, True
    if status == 504:
        return MissingReason.TIMED_OUT, False
    return MissingReason.SERVER_ERROR, False
