"""Calling instances from the command line, over HTTP by ``httpcore``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeVar

import httpcore
import msgspec

from ibisfront.adapters.http import Problem
from ibisfront.cli.exits import CommandError, ExitCode, RefusedError, UnreachableError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.core.types import Address

__all__ = ["AdminClient", "InstanceClient"]

_Decoded = TypeVar("_Decoded")
_CONNECT_TIMEOUT_S = 2.0
_READ_TIMEOUT_S = 35.0
_ROUNDS = 2
_OK = 200
_NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout)
_LOST = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class AdminClient(Protocol):
    """What the commands need of the instances' operator listeners."""

    def call(
        self, method: str, path: str, answer: type[_Decoded], body: object = None
    ) -> _Decoded:
        """Send one request that may safely be sent again, and decode its answer."""
        ...


class InstanceClient:
    """Calls the first instance that answers.

    All instances are equal, so that any of them will do.

    Parameters
    ----------
    addresses : sequence of str
        Where instances listen; tried in order.
    headers : dict of str to str
        Sent with each request.
    """

    __slots__ = ("_addresses", "_headers", "_pool")

    def __init__(self, addresses: Sequence[Address], headers: dict[str, str]) -> None:
        self._addresses = tuple(addresses)
        self._headers = [
            (name.encode(), value.encode()) for name, value in headers.items()
        ]
        self._pool = httpcore.ConnectionPool()

    def call(
        self, method: str, path: str, answer: type[_Decoded], body: object = None
    ) -> _Decoded:
        """Send one request that may safely be sent again, and decode its answer.

        Each operator request may: an edit carries its id and base version, and
        a service edit names the state that it wants.

        Raises
        ------
        RefusedError
            If an instance answered with a problem.
        UnreachableError
            If none answered.
        """
        sent = False
        for address in self._addresses * _ROUNDS:
            try:
                response = self._send(address, method, path, body)
            except _NOT_SENT:
                continue
            except _LOST:
                sent = method != "GET"
                continue
            return _decoded(response, address, answer)
        tried = ", ".join(self._addresses)
        raise UnreachableError(f"no instance answered at {tried}", sent=sent)

    def close(self) -> None:
        """Close every connection."""
        self._pool.close()

    def _send(
        self, address: Address, method: str, path: str, body: object
    ) -> httpcore.Response:
        read = {"read": _READ_TIMEOUT_S, "write": _READ_TIMEOUT_S}
        return self._pool.request(
            method,
            f"http://{address}{path}",
            headers=self._headers,
            content=b"" if body is None else msgspec.json.encode(body),
            extensions={"timeout": {"connect": _CONNECT_TIMEOUT_S, **read}},
        )


def _decoded(
    response: httpcore.Response, address: Address, answer: type[_Decoded]
) -> _Decoded:
    try:
        if response.status != _OK:
            raise RefusedError(msgspec.json.decode(response.content, type=Problem))
        return msgspec.json.decode(response.content, type=answer)
    except msgspec.MsgspecError as error:
        raise CommandError(
            f"{address} is no ibisfront instance of this release ({error}):"
            " check the address",
            ExitCode.USAGE,
        ) from error
