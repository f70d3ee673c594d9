"""Messages between the instances that share workspaces' limits."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Protocol, TypeAlias

import msgspec

from ibisfront.core.decoding import decode_msgpack
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.messages import InboundRequest
from ibisfront.gateway.servers.exchange import Exchange

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.gateway.servers.server import Server
    from ibisfront.gateway.servers.server_registry import ServerRegistry
    from ibisfront.gateway.wire import WireCodec

__all__ = [
    "QUOTA_TARGET",
    "OnQuotaGrant",
    "PeerQuotaMessages",
    "QuotaAsk",
    "QuotaGrant",
    "QuotaMessages",
    "QuotaReturn",
    "decode_ask",
    "decode_grant",
]

_LOG = part_logger(LogPart.PEERS)

QUOTA_TARGET = b"/ibisfront/quotas"
_OK = 200
_TIMEOUT_MS = 1_000.0

_EXPECTED_MS = 120.0
"""Latency beyond which a reply is late: an instance whose CPU quota is enforced in
periods of 100 ms may be stopped for almost that long."""


class QuotaReturn(msgspec.Struct, frozen=True, array_like=True):
    """An unused token that is returned.

    Attributes
    ----------
    process : int
        The process that lent it; another has no record of it.
    loan : int
        The loan.
    index : int
        The token of the loan, so that a repeat is recognized.
    """

    process: int
    loan: int
    index: int


class QuotaAsk(msgspec.Struct, frozen=True, array_like=True):
    """Asks an owner for tokens, or returns one.

    Attributes
    ----------
    workspace : str
        The workspace.
    wanted : int
        Tokens wanted; 0 if only one is returned.
    returned : QuotaReturn or None
        An unused token.
    """

    workspace: str
    wanted: int
    returned: QuotaReturn | None = None


class QuotaGrant(msgspec.Struct, frozen=True, array_like=True):
    """The reply of an owner.

    Attributes
    ----------
    process : int
        Identifies the owner's process; it changes with every start.
    loan : int
        The loan.
    tokens : int
        Tokens lent.
    due_ms : float
        How long the borrower should not ask again once these are used.
    is_owner : bool
        Whether the instance asked is an owner by its own list of instances.
    is_crowded : bool
        Whether several borrowers wait for its next tokens.
    """

    process: int
    loan: int
    tokens: int
    due_ms: float
    is_owner: bool = True
    is_crowded: bool = False


OnQuotaGrant: TypeAlias = Callable[[QuotaGrant | None], None]
"""Called once with the reply, also if it is late; None if there is none."""


class QuotaMessages(Protocol):
    """Sends messages to owners."""

    def can_reach(self, name: str) -> bool:
        """Return whether an instance seems reachable."""

    def send(
        self, name: str, ask: QuotaAsk, on_grant: OnQuotaGrant
    ) -> Callable[[], None]:
        """Send a message to an instance; return how to stop waiting for the reply."""


class PeerQuotaMessages:
    """Sends messages over the connections to the other instances.

    Parameters
    ----------
    peers : ServerRegistry
        The other instances.
    wire : WireCodec
        The codec.
    clock : Clock
        The clock.
    """

    __slots__ = ("_by_name", "_clock", "_peers", "_wire")

    def __init__(self, *, peers: ServerRegistry, wire: WireCodec, clock: Clock) -> None:
        self._peers = peers
        self._wire = wire
        self._clock = clock
        self._by_name: dict[str, Server] = {}

    def can_reach(self, name: str) -> bool:
        """Return whether an instance seems reachable."""
        peer = self._find(name)
        if peer is None or peer.pool is None:
            return False
        now_ms = self._clock.now_ms()
        return peer.is_reachable(now_ms) and now_ms >= peer.not_before_ms

    def send(
        self, name: str, ask: QuotaAsk, on_grant: OnQuotaGrant
    ) -> Callable[[], None]:
        """Send a message to an instance; return how to stop waiting for the reply.

        A reply that arrives later still counts.
        """
        peer = self._find(name)
        if peer is None or peer.pool is None:
            on_grant(None)
            return lambda: None
        request_id = secrets.token_hex(8)
        address = peer.entry.address
        now_ms = self._clock.now_ms()
        request = InboundRequest(
            method=b"POST",
            target=QUOTA_TARGET,
            host=address,
            request_id=request_id,
            deadline_ms=None,
            headers=[(b"Host", address.encode()), self._wire.request_id(request_id)],
            body=msgspec.msgpack.encode(ask),
            arrived_at_ms=now_ms,
        )
        encode_for = self._wire.encode_request(request)

        def on_end(exchange: Exchange) -> None:
            if exchange.server.pool is not None:
                exchange.server.pool.record_ended(exchange)
            grant = None
            if exchange.reply is not None:
                exchange.server.record_alive(self._clock.now_ms())
                # An instance of an earlier version does not know these messages.
                if exchange.reply.status == _OK:
                    grant = decode_grant(exchange.reply.body)
            on_grant(grant)

        exchange = Exchange(
            peer,
            request_id=request_id.encode(),
            payload=lambda at_ms: encode_for(peer.entry.server_id, _TIMEOUT_MS),
            on_end=on_end,
            rank=0,
            created_at_ms=now_ms,
            expected_ms=_EXPECTED_MS,
        )
        peer.pool.submit(exchange)
        return partial(exchange.abandon, at_once=False)

    def _find(self, name: str) -> Server | None:
        peer = self._by_name.get(name)
        if peer is None or peer.is_removed:
            self._by_name = {
                item.entry.server_id: item for item in self._peers.servers()
            }
            peer = self._by_name.get(name)
        return peer


def decode_ask(body: bytes) -> QuotaAsk | None:
    """Return a received message; None if it cannot be read."""
    try:
        return decode_msgpack(body, QuotaAsk)
    except msgspec.DecodeError as error:
        _LOG.warning("A quota message cannot be read: %s.", error)
        return None


def decode_grant(body: bytes) -> QuotaGrant | None:
    """Return a received reply; None if it cannot be read."""
    try:
        return decode_msgpack(body, QuotaGrant)
    except msgspec.DecodeError as error:
        _LOG.warning("A reply to a quota message cannot be read: %s.", error)
        return None
