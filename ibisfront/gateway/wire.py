"""Codec interface of messages on the wire; the platform's adapter implements it."""

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
"""Encodes a request for one server, given its id and the remaining time in ms."""


class WireCodec(msgspec.Struct, frozen=True):
    """Codec of requests and replies.

    Attributes
    ----------
    decode_request : callable
        Decodes a request, given the current time and the time that the network adds
        to the caller's wait, both in milliseconds.
    encode_request : callable
        Returns the encoder of a request for a server; states its workspace, if any.
    key_header : bytes
        Name of the header with a caller's key, in lower case.
    workspace_header : bytes
        Name of the header that tells a server the request's workspace, likewise.
    decode_reply : callable
        Decodes a backend server's reply.
    gathered_headers : callable
        Returns the headers of a scatter-gather answer, given the signatures of the
        parts received and the number of missing ones.
    request_id : callable
        Returns the header with the id of the request that a reply answers.
    retry_after : callable
        Returns the header that asks a caller to retry after a time in milliseconds.
    encode_reply : callable
        Encodes a caller's answer, given whether the connection stays open.
    """

    decode_request: Callable[[RawMessage, float, float], InboundRequest]
    encode_request: Callable[[InboundRequest], EncodeFor]
    key_header: bytes
    workspace_header: bytes
    decode_reply: Callable[[RawMessage], BackendReply]
    gathered_headers: Callable[[Sequence[bytes], int], list[Header]]
    request_id: Callable[[str], Header]
    retry_after: Callable[[float], Header]
    encode_reply: Callable[[CallerReply, bool], tuple[bytes, ...]]
