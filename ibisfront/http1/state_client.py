"""Requests the store's state from another instance over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.gateway.state.state_codec import MAXIMUM_STATE_BYTES
from ibisfront.gateway.state.state_relay import StateRequest
from ibisfront.http1.client import HttpClient

if TYPE_CHECKING:
    from ibisfront.core.types import Address
    from ibisfront.gateway.messages import InboundRequest

__all__ = ["HttpStateClient", "parse_state_request"]

_PATH = b"/ibisfront/state"
_OK = 200


def parse_state_request(request: InboundRequest) -> StateRequest | None:
    """Return the state request; None if it is another kind of request."""
    path, _, text = request.target.partition(b"?")
    if path != _PATH:
        return None
    revision, _, version = text.partition(b"&")
    return StateRequest(_number(revision), _number(version))


def _number(text: bytes) -> int:
    return int(text) if text.isdigit() else 0


class HttpStateClient:
    """Requests state from one instance; see ``StateClient``.

    Parameters
    ----------
    address : Address
        Address at which the instance serves others.
    """

    __slots__ = ("_client",)

    def __init__(self, address: Address) -> None:
        self._client = HttpClient(address, maximum_body_bytes=MAXIMUM_STATE_BYTES)

    async def request(self, request: StateRequest, *, timeout_ms: float) -> bytes:
        """Return an encoded ``RelayedState``; raises ``OSError``."""
        target = f"{_PATH.decode()}?{request.known_revision}&{request.known_version}"
        message = await self._client.call("GET", target, timeout_ms=timeout_ms)
        if message.status != _OK:
            raise ConnectionError(f"unexpected status {message.status}")
        return message.body

    def close(self) -> None:
        """Close the connection."""
        self._client.close()
