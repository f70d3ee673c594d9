"""How messages are written on the wire; the platform's adapter provides it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, TypeAlias

import msgspec

if TYPE_CHECKING:
    from ibisfront.gateway.messages import (
        BackendReply,
        CallerReply,
        Header,
        InboundRequest,
    )
    from ibisfront.http1.parser import RawMessage

__all__ = ["EncodeFor", "WireCodec"]

EncodeFor: TypeAlias = Callable[[str, float], bytes]
"""Writes a request for one server: takes its id and the time left in ms."""


class WireCodec(msgspec.Struct, frozen=True):
    """The codec of requests and replies.

    Attributes
    ----------
    decode_request : callable
        Makes a typed request of a message, given the time in milliseconds
        and the network's share of the caller's wait.
    encode_request : callable
        Returns what writes a request for a server.
    decode_reply : callable
        Makes a typed reply of a message from a backend server.
    gathered_headers : callable
        Returns the headers of a gathered answer, given the signatures of the
        parts that are in and the number of those that are not.
    request_id : callable
        Returns the header that names the request a reply is to.
    retry_after : callable
        Returns the header that tells a caller when to come back, in
        milliseconds.
    encode_reply : callable
        Writes a caller's answer, given it and whether the connection stays.
    """

    decode_request: Callable[[RawMessage, float, float], InboundRequest]
    encode_request: Callable[[InboundRequest], EncodeFor]
    decode_reply: Callable[[RawMessage], BackendReply]
    gathered_headers: Callable[[Sequence[bytes], int], list[Header]]
    request_id: Callable[[str], Header]
    retry_after: Callable[[float], Header]
    encode_reply: Callable[[CallerReply, bool], bytes]
