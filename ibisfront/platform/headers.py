"""The headers of the platform's requests and replies."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ibisfront.gateway.load.server_load import parse_reported_load
from ibisfront.gateway.messages import BackendReply, InboundRequest
from ibisfront.gateway.wire import EncodeFor, WireCodec
from ibisfront.http1.fields import (
    HOP_BY_HOP_FIELDS,
    connection_options,
    encode_reply,
    idle_timeout_ms,
    parse_non_negative,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.gateway.messages import Header
    from ibisfront.http1.parser import RawMessage

__all__ = ["WIRE"]

_REQUEST_ID = b"x-request-id"
_DEADLINE = b"x-deadline-ms"
_EXPECTED_SERVER = b"x-expect-instance"
_SIGNATURE = b"x-backend-stamp"
_NOT_RUN = b"x-not-executed"
_RETRY_AFTER = b"retry-after"
_LOAD = b"x-backend-load"

_DROPPED = HOP_BY_HOP_FIELDS | {_DEADLINE, _EXPECTED_SERVER}
_MISDIRECTED = 421
_MILLISECONDS_PER_SECOND = 1000.0


def _decode_request(
    raw: RawMessage, now_ms: float, network_ms: float
) -> InboundRequest:
    host = request_id = ""
    deadline_ms: float | None = None
    dropped = _DROPPED | connection_options(raw.headers)
    forwarded: list[Header] = []
    for name, value in raw.headers:
        lower = name.lower()
        if lower == b"host":
            host = value.decode("latin-1").lower().partition(":")[0]
        elif lower == _REQUEST_ID:
            request_id = value.decode("latin-1")
        elif lower == _DEADLINE:
            deadline_ms = parse_non_negative(value)
        if lower not in dropped:
            forwarded.append((name, value))
    return InboundRequest(
        method=raw.method,
        target=raw.target,
        host=host,
        request_id=request_id,
        deadline_ms=deadline_ms,
        headers=forwarded,
        body=raw.body,
        arrived_at_ms=now_ms,
        network_ms=network_ms,
    )


def _encode_request(request: InboundRequest) -> EncodeFor:
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in request.headers]
    if request.workspace:
        lines.append(b"X-Tenant-Id: " + request.workspace.encode())
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % len(request.body))
    head = b"\r\n".join(lines)

    def encode_for(server_id: str, left_ms: float) -> bytes:
        return b"%b\r\nX-Expect-Instance: %b\r\nX-Deadline-Ms: %d\r\n\r\n%b" % (
            head,
            server_id.encode(),
            max(int(left_ms), 1),
            request.body,
        )

    return encode_for


def _decode_reply(raw: RawMessage) -> BackendReply:
    reply = BackendReply(raw.status, [], raw.body, closes=not raw.keeps_open)
    # Another server now has the address; only the status indicates it.
    reply.is_other_server = reply.not_run = raw.status == _MISDIRECTED
    for name, value in raw.headers:
        lower = name.lower()
        read_field = _REPLY_FIELDS.get(lower)
        if read_field is not None:
            read_field(reply, value)
        if lower not in HOP_BY_HOP_FIELDS:
            reply.headers.append((name, value))
    return reply


def _store_as(field: str) -> Callable[[BackendReply, bytes], None]:
    return lambda reply, value: setattr(reply, field, value)


def _read_not_run(reply: BackendReply, value: bytes) -> None:
    reply.not_run = True


def _read_retry_after(reply: BackendReply, value: bytes) -> None:
    seconds = parse_non_negative(value)
    if seconds is not None:
        reply.retry_after_ms = seconds * _MILLISECONDS_PER_SECOND


def _read_encoding(reply: BackendReply, value: bytes) -> None:
    reply.is_encoded = value.strip().lower() != b"identity"


def _read_keep_alive(reply: BackendReply, value: bytes) -> None:
    reply.idle_timeout_ms = idle_timeout_ms(value)


def _read_load(reply: BackendReply, value: bytes) -> None:
    # Running, waiting, slots, and optionally the work factor in percent.
    reply.load = parse_reported_load(value.split(b","))
    reply.has_unreadable_load = reply.load is None


_REPLY_FIELDS: dict[bytes, Callable[[BackendReply, bytes], None]] = {
    _SIGNATURE: _store_as("signature"),
    _REQUEST_ID: _store_as("request_id"),
    _NOT_RUN: _read_not_run,
    _RETRY_AFTER: _read_retry_after,
    b"content-encoding": _read_encoding,
    b"keep-alive": _read_keep_alive,
    _LOAD: _read_load,
}


def _gathered_headers(signatures: Sequence[bytes], missing: int) -> list[Header]:
    # On the wire, a part's signature is a stamp and a service of the index a
    # shard; the second header counts the missing services.
    headers = [(b"X-Shard-Stamps", b", ".join(signatures))]
    if missing:
        headers.append((b"X-Shards-Missing", b"%d" % missing))
    return headers


def _request_id(request_id: str) -> Header:
    return (b"X-Request-Id", request_id.encode("latin-1"))


def _retry_after(wait_ms: float) -> Header:
    return (b"Retry-After", b"%.3f" % (wait_ms / _MILLISECONDS_PER_SECOND))


WIRE = WireCodec(
    decode_request=_decode_request,
    encode_request=_encode_request,
    key_header=b"x-key",
    workspace_header=b"x-tenant-id",
    decode_reply=_decode_reply,
    gathered_headers=_gathered_headers,
    request_id=_request_id,
    retry_after=_retry_after,
    encode_reply=encode_reply,
)
"""The platform's codec of requests and replies."""
