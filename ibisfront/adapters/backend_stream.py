"""The byte stream of a connection to a backend server."""

from __future__ import annotations

import select
import ssl
from typing import TYPE_CHECKING, Any

import httpcore
import trio

if TYPE_CHECKING:
    from ibisfront.core.types import Address

__all__ = ["BackendStream", "open_stream"]


class BackendStream(httpcore.AsyncNetworkStream):
    """A socket that sends each request in a single write.

    httpcore writes the head, the body and an empty end of a request
    separately. Each write costs a system call here and a packet for the
    server; joined they cost one. Timeouts are enforced by the caller's cancel
    scopes, so the timeout arguments are ignored.

    Parameters
    ----------
    stream : trio.SocketStream
        The open socket; ownership is transferred.
    """

    __slots__ = ("_pending", "_stream")

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._pending = b""

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes; empty at the end of the stream."""
        try:
            return bytes(await self._stream.receive_some(max_bytes))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Buffer bytes until the empty write that ends a request."""
        if buffer:
            self._pending += buffer
            return
        pending, self._pending = self._pending, b""
        try:
            await self._stream.send_all(pending)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self) -> None:
        """Close the socket."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Raise, since connections to backend servers do not use TLS."""
        raise NotImplementedError

    def get_extra_info(self, info: str) -> Any:
        """Return whether the socket is readable, the only supported value."""
        if info != "is_readable":
            return None
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))


async def open_stream(
    address: Address,
    *,
    timeout_s: float,
    outgoing_ip: str | None,
    options: list[tuple[int, int, int]],
) -> BackendStream:
    """Connect to an address.

    Raises
    ------
    OSError
        If the connection is refused or times out.
    """
    host, _, port = address.rpartition(":")
    with trio.move_on_after(timeout_s):
        stream = await trio.open_tcp_stream(host, int(port), local_address=outgoing_ip)
        for option in options:
            stream.setsockopt(*option)
        return BackendStream(stream)
    raise TimeoutError(f"{address} did not accept the connection in time")
