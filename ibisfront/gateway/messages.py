"""The messages between callers, the gateway and backend servers."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from ibisfront.gateway.load.server_load import ServerLoad

__all__ = [
    "BackendReply",
    "CallerReply",
    "ExchangeError",
    "ExchangeErrorKind",
    "Header",
    "InboundRequest",
]

Header = tuple[bytes, bytes]
"""A header's name and value as they stood on the wire."""


class InboundRequest(msgspec.Struct):
    """One attempt of a caller, read whole.

    Attributes
    ----------
    method : bytes
        The method.
    target : bytes
        Path and query, unchanged.
    host : str
        The host named, lower case, without a port.
    request_id : str
        The caller's name for this attempt; empty if it gave none.
    deadline_ms : float or None
        How long the caller waits, from its sending.
    headers : list of Header
        What is passed on: all but those of one connection and those that the
        gateway sets itself.
    body : bytes
        The whole body.
    arrived_at_ms : float
        When its last byte was read, by the tier's clock.
    network_ms : float
        What the network adds to the caller's wait: connecting, if it had to,
        and the way to and fro.
    closes : bool
        Whether the caller closes the connection after the answer.
    """

    method: bytes
    target: bytes
    host: str
    request_id: str
    deadline_ms: float | None
    headers: list[Header]
    body: bytes
    arrived_at_ms: float
    network_ms: float = 0.0
    closes: bool = False

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class BackendReply(msgspec.Struct):
    """A backend server's whole reply.

    Attributes
    ----------
    status : int
        Its status.
    headers : list of Header
        What is passed back to the caller.
    body : bytes
        The whole body.
    signature : bytes or None
        The server's signature of this reply.
    request_id : bytes or None
        The request that it answers, if it says so.
    not_run : bool
        Whether the server states that it did not run the request.
    is_other_server : bool
        Whether it did not since it is not the server that was meant.
    is_encoded : bool
        Whether the body is in an encoding that nobody asked for.
    closes : bool
        Whether the connection ends with this reply.
    idle_timeout_ms : float or None
        How long the server keeps the connection open while it is idle.
    retry_after_ms : float or None
        When the server asks to come back.
    load : ServerLoad or None
        How busy the server was, if it said so.
    has_unreadable_load : bool
        Whether it said so in a way that cannot be.
    """

    status: int
    headers: list[Header]
    body: bytes
    signature: bytes | None = None
    request_id: bytes | None = None
    not_run: bool = False
    is_other_server: bool = False
    is_encoded: bool = False
    closes: bool = False
    idle_timeout_ms: float | None = None
    retry_after_ms: float | None = None
    load: ServerLoad | None = None
    has_unreadable_load: bool = False

    @property
    def is_success(self) -> bool:
        """Whether it is a signed, plain success."""
        return (
            200 <= self.status < 300
            and self.signature is not None
            and not self.is_encoded
        )


class ExchangeErrorKind(StrEnum):
    """Why an exchange with a backend server brought no reply."""

    CONNECT_FAILED = "connect_failed"
    CONNECTION_LOST = "connection_lost"
    BAD_REPLY = "bad_reply"
    WITHDRAWN = "withdrawn"
    SERVER_GONE = "server_gone"


class ExchangeError(msgspec.Struct, frozen=True):
    """An exchange that ended without a reply.

    Attributes
    ----------
    kind : ExchangeErrorKind
        Why.
    may_have_run : bool
        False only if no byte of the request left this process.
    """

    kind: ExchangeErrorKind
    may_have_run: bool


class CallerReply(msgspec.Struct):
    """What a caller is answered.

    Attributes
    ----------
    status : int
        The status.
    headers : list of Header
        Besides those of length and connection.
    body : bytes
        The whole body.
    reason : str
        Why, for the log and the counters.
    closes : bool
        Whether the connection ends with it, so that the caller's next request
        goes through the balancer.
    """

    status: int
    headers: list[Header]
    body: bytes
    reason: str
    closes: bool = False
