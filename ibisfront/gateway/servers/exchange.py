"""One request sent to one backend server."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ibisfront.gateway.messages import ExchangeError, ExchangeErrorKind

if TYPE_CHECKING:
    from ibisfront.gateway.messages import BackendReply
    from ibisfront.gateway.servers.server import Server

__all__ = ["Exchange"]


class Exchange:
    """One request sent, or to be sent, to one backend server.

    It ends exactly once: with a reply or with an error. Whoever waits is told
    by a plain call, so that the twenty parts of a query cost no task switch
    each.

    Parameters
    ----------
    server : Server
        Where it goes.
    request_id : bytes
        What a reply to it must name.
    payload : callable
        Returns the bytes to send, given the time; called at the moment of
        sending, since they say how much time is left.
    on_end : callable
        Called once with the exchange when it has ended.
    rank : int
        0 is sent first when connections are short.
    created_at_ms : float
        The time.
    expected_ms : float
        After how long a reply is late by what is usual for such requests.
    has_reply_body : bool
        Whether its reply may have a body; that to a HEAD request has none.
    may_break_off : bool
        Whether its end may be hastened when the path to its server is cut: the
        request may be sent again, so that nothing hangs on this reply.

    Attributes
    ----------
    sent_at_ms : float or None
        When its first byte left; None as long as none has.
    reply : BackendReply or None
        The reply, if there is one.
    error : ExchangeError or None
        Why there is none.
    is_abandoned : bool
        Whether nobody waits for it any more.
    is_cancelled : bool
        Whether its connection is closed from here to stop the work; its end
        then says nothing of the server.
    """

    __slots__ = (
        "_on_end",
        "abandon",
        "created_at_ms",
        "error",
        "expected_ms",
        "has_reply_body",
        "is_abandoned",
        "is_cancelled",
        "may_break_off",
        "payload",
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
        may_break_off: bool = True,
    ) -> None:
        self.has_reply_body = has_reply_body
        self.may_break_off = may_break_off
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
        self.abandon: Callable[[bool], None] | None = None
        self._on_end = on_end

    @property
    def has_ended(self) -> bool:
        """Whether it has a reply or an error."""
        return self.reply is not None or self.error is not None

    @property
    def waits_since_ms(self) -> float:
        """When it was sent, or made if it waits for a connection yet."""
        return self.created_at_ms if self.sent_at_ms is None else self.sent_at_ms

    def finish(self, reply: BackendReply) -> None:
        """End it with a reply."""
        if not self.has_ended:
            self.reply = reply
            self._on_end(self)

    def fail(self, kind: ExchangeErrorKind) -> None:
        """End it without a reply."""
        if not self.has_ended:
            self.error = ExchangeError(kind, may_have_run=self.sent_at_ms is not None)
            self._on_end(self)

    def break_off(self) -> None:
        """End it as lost, at once: no reply can come on the way that it went."""
        if self.sent_at_ms is None:
            self.fail(ExchangeErrorKind.CONNECT_FAILED)
        elif self.abandon is not None:
            self.abandon(True)

    def give_up(self, *, at_once: bool) -> None:
        """Wait for it no longer.

        Parameters
        ----------
        at_once : bool
            Whether to stop the server's work by closing the connection. That
            costs a new connection; otherwise a reply that still comes is
            read and dropped, and the connection is used again.
        """
        if self.has_ended:
            return
        self.is_abandoned = True
        if self.sent_at_ms is None:
            self.fail(ExchangeErrorKind.WITHDRAWN)
        elif at_once and self.abandon is not None:
            self.is_cancelled = True
            self.abandon(True)
        elif self.abandon is not None:
            self.abandon(False)
