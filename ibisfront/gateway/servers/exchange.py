"""One request sent to one backend server."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ibisfront.gateway.messages import ExchangeError, ExchangeErrorKind

if TYPE_CHECKING:
    from ibisfront.gateway.load.query_time import QueryTime
    from ibisfront.gateway.messages import BackendReply
    from ibisfront.gateway.servers.server import Server

__all__ = ["Exchange"]


class Exchange:
    """One request to one backend server.

    It ends exactly once, with a reply or with an error. The end is reported by a
    direct call of ``on_end``, so that the twenty parts of a query do not cost a
    task switch each.

    Parameters
    ----------
    server : Server
        The destination.
    request_id : bytes
        The request id that its reply must contain.
    payload : callable
        Returns the bytes to send, given the time; called at the moment of
        sending, since they contain the remaining time.
    on_end : callable
        Called once, with the exchange, when it ends.
    rank : int
        Priority when connections are scarce; 0 is sent first.
    created_at_ms : float
        The time of creation.
    expected_ms : float
        Latency beyond which its reply counts as late.
    has_reply_body : bool
        Whether its reply may have a body; the reply to a HEAD request has none.
    may_fail_fast : bool
        Whether it may end early when the path to its server is partitioned: the
        request may be sent again, so the reply to this one is not needed.
    query_time : QueryTime, optional
        When its query has to end; without it there is no such time.

    Attributes
    ----------
    sent_at_ms : float or None
        When its first byte was sent; None before that.
    reply : BackendReply or None
        The reply, if there is one.
    error : ExchangeError or None
        Why there is no reply.
    is_abandoned : bool
        Whether its reply is no longer needed.
    is_cancelled : bool
        Whether this instance closes its connection to stop the work; its end
        then says nothing about the server.
    on_abandon : callable or None
        Set by the pool once it is sent. Closes its connection at once if called
        with true, otherwise later if no reply arrives.
    """

    __slots__ = (
        "_on_end",
        "created_at_ms",
        "error",
        "expected_ms",
        "has_reply_body",
        "is_abandoned",
        "is_cancelled",
        "may_fail_fast",
        "on_abandon",
        "payload",
        "query_time",
        "rank",
        "reply",
        "request_id",
        "sent_at_ms",
        "server",
    )

    def __init__(
        self,
        server: Server,
        *,
        request_id: bytes,
        payload: Callable[[float], bytes],
        on_end: Callable[[Exchange], None],
        rank: int,
        created_at_ms: float,
        expected_ms: float,
        has_reply_body: bool = True,
        may_fail_fast: bool = True,
        query_time: QueryTime | None = None,
    ) -> None:
        self.query_time = query_time
        self.has_reply_body = has_reply_body
        self.may_fail_fast = may_fail_fast
        self.server = server
        self.request_id = request_id
        self.payload = payload
        self.rank = rank
        self.created_at_ms = created_at_ms
        self.expected_ms = expected_ms
        self.sent_at_ms: float | None = None
        self.reply: BackendReply | None = None
        self.error: ExchangeError | None = None
        self.is_abandoned = False
        self.is_cancelled = False
        self.on_abandon: Callable[[bool], None] | None = None
        self._on_end = on_end

    @property
    def has_ended(self) -> bool:
        """Whether it has a reply or an error."""
        return self.reply is not None or self.error is not None

    def would_be_late(self, at_ms: float) -> bool:
        """Return whether a reply at a time is too late for its query."""
        return self.query_time is not None and self.query_time.is_late_at(at_ms)

    @property
    def waiting_since_ms(self) -> float:
        """When it was sent, or created if it is still waiting for a connection."""
        return self.created_at_ms if self.sent_at_ms is None else self.sent_at_ms

    def finish(self, reply: BackendReply) -> None:
        """End it with a reply."""
        if not self.has_ended:
            self.reply = reply
            self._on_end(self)

    def fail(self, kind: ExchangeErrorKind, *, is_server_lost: bool = False) -> None:
        """End it without a reply; see ``ExchangeError``."""
        if not self.has_ended:
            was_sent = self.sent_at_ms is not None
            self.error = ExchangeError(kind, was_sent, is_server_lost)
            self._on_end(self)

    def fail_fast(self) -> None:
        """End it without a reply; none can arrive over a partitioned path."""
        if self.sent_at_ms is None:
            self.fail(ExchangeErrorKind.CONNECT_FAILED)
        elif self.on_abandon is not None:
            self.on_abandon(True)

    def abandon(self, *, at_once: bool) -> None:
        """Stop waiting for it.

        Parameters
        ----------
        at_once : bool
            Whether to stop the server's work by closing the connection, which
            costs a new connection. Otherwise a reply that still arrives is read
            and dropped, and the connection is reused.
        """
        if self.has_ended:
            return
        self.is_abandoned = True
        if self.sent_at_ms is None:
            self.fail(ExchangeErrorKind.WITHDRAWN)
        elif at_once and self.on_abandon is not None:
            self.is_cancelled = True
            self.on_abandon(True)
        elif self.on_abandon is not None:
            self.on_abandon(False)
