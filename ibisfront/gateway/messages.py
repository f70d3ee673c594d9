"""Messages between callers, the gateway and backend servers."""

from __future__ import annotations

import math
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
"""A header's name and value as received on the wire."""


class InboundRequest(msgspec.Struct):
    """One attempt of a caller, fully received.

    Attributes
    ----------
    method : bytes
        The HTTP method.
    target : bytes
        Path and query, unchanged.
    host : str
        Value of the Host header, in lower case and without a port.
    request_id : str
        The caller's identifier of this attempt; empty if it sent none.
    deadline_ms : float or None
        How long the caller waits, counted from when it sent the request.
    headers : list of Header
        Headers to forward: all but hop-by-hop headers and those that the gateway
        sets itself.
    body : bytes
        The complete body.
    arrived_at_ms : float
        When its last byte was read, by the tier's clock.
    network_ms : float
        Time that the network adds to the caller's wait: the round trip, and the
        connect if there was one.
    closes : bool
        Whether the caller closes the connection after the answer.
    workspace : str
        Workspace that it counts against; empty if the configuration has none, or if
        its route is public and it carries no key.
    rank : int or None
        Priority that replaces that of its route; None to keep it.
    key_digests : tuple of str
        Digests of the keys that it carried; only where it was received.
    reached_servers : bool
        Whether any server may have received it so far, even if it rejected it.
    is_trial : bool
        Whether it is suspected of crashing servers and may reach one first.
    ends_at_ms : float
        When it must be answered because the instance ends; infinite if it does not.
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
    workspace: str = ""
    rank: int | None = None
    key_digests: tuple[str, ...] = ()
    reached_servers: bool = False
    is_trial: bool = False
    ends_at_ms: float = math.inf

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class BackendReply(msgspec.Struct):
    """A backend server's complete reply.

    Attributes
    ----------
    status : int
        The HTTP status.
    headers : list of Header
        Headers to pass on to the caller.
    body : bytes
        The complete body.
    signature : bytes or None
        The server's signature of this reply.
    request_id : bytes or None
        Id of the request that it answers, if stated.
    not_run : bool
        Whether the server states that it did not run the request.
    is_other_server : bool
        Whether it did not run it because it is not the intended server.
    is_encoded : bool
        Whether the body has a content encoding that was not requested.
    closes : bool
        Whether the connection closes after this reply.
    idle_timeout_ms : float or None
        How long the server keeps an idle connection open.
    retry_after_ms : float or None
        Time after which the server allows a retry.
    load : ServerLoad or None
        The server's load, if reported.
    has_unreadable_load : bool
        Whether the reported load is malformed.
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
        """Whether it is a signed success without a content encoding."""
        return (
            200 <= self.status < 300
            and self.signature is not None
            and not self.is_encoded
        )


class ExchangeErrorKind(StrEnum):
    """Why an exchange with a backend server ended without a reply."""

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
        The cause.
    may_have_run : bool
        False only if no byte of the request left this process.
    is_server_lost : bool
        Whether the server closed or reset the connection while it ran the request.
    """

    kind: ExchangeErrorKind
    may_have_run: bool
    is_server_lost: bool = False


class CallerReply(msgspec.Struct):
    """The reply to a caller.

    Attributes
    ----------
    status : int
        The HTTP status.
    headers : list of Header
        Headers other than those for length and connection.
    body : bytes
        The complete body.
    reason : str
        The cause, for the log and the counters.
    closes : bool
        Whether the connection closes after it, so that the caller's next request
        goes through the balancer.
    """

    status: int
    headers: list[Header]
    body: bytes
    reason: str
    closes: bool = False
