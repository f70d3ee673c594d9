"""Raw requests to an HTTP listener, for tests of invalid input."""

from __future__ import annotations

import h2.config
import h2.connection
import h11
import msgspec
import trio

__all__ = ["ProblemBody", "RawReply", "http2_bytes", "post_bytes", "send_bytes"]

_TIMEOUT_S = 20.0


class ProblemBody(msgspec.Struct, forbid_unknown_fields=True):
    """A problem document with only the documented fields."""

    type: str
    title: str
    status: int
    detail: str
    code: str
    ran: str
    request_id: str
    retry_after_ms: int | None = None


class RawReply(msgspec.Struct, frozen=True):
    """One reply; ``status`` is 0 if the connection ended without any."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def problem(self) -> ProblemBody:
        """The body as a problem document."""
        return msgspec.json.decode(self.body, type=ProblemBody)


def post_bytes(path, body, *headers, method="POST"):
    """Return the bytes of one request, without validation."""
    head = [f"{method} {path} HTTP/1.1", "Host: test", *headers]
    if not any(line.lower().startswith("content-length") for line in headers):
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*head, "", ""]).encode("latin-1") + body


def http2_bytes(path):
    """Return the bytes of an HTTP/2 request, without validation of its path."""
    config = h2.config.H2Configuration(
        validate_outbound_headers=False, normalize_outbound_headers=False
    )
    connection = h2.connection.H2Connection(config)
    connection.initiate_connection()
    headers = {":method": "POST", ":scheme": "http", ":authority": "a", ":path": path}
    connection.send_headers(1, list(headers.items()), end_stream=True)
    return connection.data_to_send()


async def send_bytes(address, sent):
    """Send bytes over a new connection and return the first reply."""
    host, _, port = address.rpartition(":")
    with trio.fail_after(_TIMEOUT_S):
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(_send_all, stream, sent)
            reply = await _read_reply(stream)
            nursery.cancel_scope.cancel()
    return reply


async def _send_all(stream, sent):
    try:
        await stream.send_all(sent)
    except trio.BrokenResourceError:
        return


async def _read_reply(stream):
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "test")]))
    parser.send(h11.EndOfMessage())
    status, headers, body = 0, {}, b""
    while True:
        try:
            event = parser.next_event()
        except h11.RemoteProtocolError:
            return RawReply(0, {}, b"")  # another protocol than HTTP/1.1
        if event is h11.NEED_DATA:
            try:
                parser.receive_data(await stream.receive_some())
            except trio.BrokenResourceError:
                return RawReply(0, {}, b"")
        elif isinstance(event, h11.Response):
            status = event.status_code
            headers = {name.decode(): value.decode() for name, value in event.headers}
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            return RawReply(status, headers, body)
