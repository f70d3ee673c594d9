"""HTTP client of instances for the command line, based on ``httpcore``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeVar

import httpcore
import msgspec

from ibisfront.adapters.http import Problem
from ibisfront.cli.exits import CommandError, ExitCode, ProblemError, UnreachableError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.core.types import Address

__all__ = ["AdminClient", "InstanceClient"]

_Decoded = TypeVar("_Decoded")
_CONNECT_TIMEOUT_S = 2.0
_READ_TIMEOUT_S = 35.0
_MAX_ROUNDS = 2
_OK = 200
_CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)
_EXCHANGE_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class AdminClient(Protocol):
    """Interface to the operator listeners of the instances."""

    def call(
        self, method: str, path: str, reply_type: type[_Decoded], body: object = None
    ) -> _Decoded:
        """Send one request that is safe to retry, and decode the reply."""
        ...


class InstanceClient:
    """Calls the first instance that replies.

    All instances are equivalent, so any of them can serve a request.

    Parameters
    ----------
    addresses : sequence of str
        Addresses of instances, tried in order.
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
        self, method: str, path: str, reply_type: type[_Decoded], body: object = None
    ) -> _Decoded:
        """Send one request that is safe to retry, and decode the reply.

        Operator requests are safe to retry: a table edit carries its id and base
        version, and a service edit states the desired result.

        Raises
        ------
        ProblemError
            If an instance replied with a problem document.
        UnreachableError
            If no instance replied.
        CommandError
            If the reply cannot be decoded.
        """
        maybe_sent = False
        for address in self._addresses * _MAX_ROUNDS:
            try:
                response = self._send(address, method, path, body)
            except _CONNECT_ERRORS:
                continue
            except _EXCHANGE_ERRORS:
                maybe_sent = method != "GET"
                continue
            return _decode_response(response, address, reply_type)
        addresses = ", ".join(self._addresses)
        raise UnreachableError(
            f"no instance answered at {addresses}", maybe_sent=maybe_sent
        )

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    def _send(
        self, address: Address, method: str, path: str, body: object
    ) -> httpcore.Response:
        io_timeouts = {"read": _READ_TIMEOUT_S, "write": _READ_TIMEOUT_S}
        return self._pool.request(
            method,
            f"http://{address}{path}",
            headers=self._headers,
            content=b"" if body is None else msgspec.json.encode(body),
            extensions={"timeout": {"connect": _CONNECT_TIMEOUT_S, **io_timeouts}},
        )


def _decode_response(
    response: httpcore.Response, address: Address, reply_type: type[_Decoded]
) -> _Decoded:
    try:
        if response.status != _OK:
            raise ProblemError(msgspec.json.decode(response.content, type=Problem))
        return msgspec.json.decode(response.content, type=reply_type)
    except msgspec.MsgspecError as error:
        raise CommandError(
            f"{address} is not an ibisfront instance of this release ({error}):"
            " check the address",
            ExitCode.USAGE,
        ) from error
