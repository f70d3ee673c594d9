"""A TCP relay that can partition the network paths between zones.

Run ``python -m ibisfront.testing.relay``. It prints ``control HOST:PORT``.
``POST /control/relays`` with a :class:`RelayTarget` opens a listener that
forwards to a target, and returns its address; ``POST /control/cuts`` with
:class:`Partitions` replaces the partitions. On a partitioned path nothing is
forwarded or closed, as if the network dropped every packet.
"""

from __future__ import annotations

import argparse
import socket
from contextlib import suppress
from http import HTTPMethod, HTTPStatus

import msgspec
import trio

from ibisfront.testing.http_messages import Request, Response, json_response
from ibisfront.testing.http_server import HttpServer

__all__ = ["Partition", "Partitions", "Relay", "RelayAddress", "RelayTarget", "main"]

LOOPBACK = "127.0.0.1"
_CHUNK_BYTES = 65_536
_TCP_ESTABLISHED = 1


class RelayTarget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Target that a relay listener forwards to.

    Attributes
    ----------
    address : str
        The target's ``HOST:PORT``.
    place : str
        Location of the target; a client's location is the IP that it connects
        from.
    """

    address: str
    place: str


class RelayAddress(msgspec.Struct, frozen=True):
    """Address of a relay listener."""

    address: str


class Partition(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Two locations that exchange no bytes, in either direction."""

    first: str
    second: str

    def separates(self, first: str, second: str) -> bool:
        """Return whether the partition is between two locations."""
        return {first, second} == {self.first, self.second}


class Partitions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All active partitions."""

    cuts: tuple[Partition, ...] = ()


class Relay:
    """All relay listeners of a process, and the active partitions.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the listeners and connections.
    """

    __slots__ = ("_changed", "_nursery", "_partitions")

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._partitions = Partitions()
        self._changed = trio.Event()

    async def open(self, target: RelayTarget) -> RelayAddress:
        """Open a listener that forwards to a target."""
        (listener,) = await trio.open_tcp_listeners(0, host=LOOPBACK)

        async def connected(stream: trio.SocketStream) -> None:
            await self._forward(stream, target)

        self._nursery.start_soon(trio.serve_listeners, connected, [listener])
        return RelayAddress(f"{LOOPBACK}:{listener.socket.getsockname()[1]}")

    def set_partitions(self, partitions: Partitions) -> None:
        """Replace the partitions; bytes held back by a healed one are forwarded."""
        self._partitions = partitions
        self._changed.set()
        self._changed = trio.Event()

    async def _forward(self, client: trio.SocketStream, target: RelayTarget) -> None:
        place = client.socket.getpeername()[0]
        host, _, port = target.address.rpartition(":")
        async with client:
            await self._wait_until_connected(place, target.place)
            # A client that gave up during a partition would never have
            # connected. Connecting for it now would use up the target's
            # connection limit with dead connections after the partition.
            if not _is_established(client):
                return
            with suppress(OSError):
                async with await trio.open_tcp_stream(host, int(port)) as upstream:
                    await self._forward_both_ways(client, upstream, place, target.place)

    async def _forward_both_ways(
        self,
        client: trio.SocketStream,
        upstream: trio.SocketStream,
        place: str,
        target_place: str,
    ) -> None:
        async def forward(reader: trio.SocketStream, writer: trio.SocketStream) -> None:
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                while data := await reader.receive_some(_CHUNK_BYTES):
                    await self._wait_until_connected(place, target_place)
                    await writer.send_all(data)
            await self._wait_until_connected(place, target_place)
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(forward, client, upstream)
            nursery.start_soon(forward, upstream, client)

    async def _wait_until_connected(self, first: str, second: str) -> None:
        while any(
            partition.separates(first, second) for partition in self._partitions.cuts
        ):
            await self._changed.wait()


def _is_established(stream: trio.SocketStream) -> bool:
    """Return whether the kernel reports a connection as open at both ends.

    A read cannot tell: unread bytes hide the end of the stream.
    """
    info = stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return info[0] == _TCP_ESTABLISHED


async def _serve(control_port: int) -> None:
    async with trio.open_nursery() as nursery:
        relay = Relay(nursery)

        async def handle(request: Request) -> Response:
            match (request.method, *request.segments):
                case (HTTPMethod.POST, "control", "relays"):
                    target = msgspec.json.decode(request.body, type=RelayTarget)
                    return json_response(HTTPStatus.OK, await relay.open(target))
                case (HTTPMethod.POST, "control", "cuts"):
                    relay.set_partitions(
                        msgspec.json.decode(request.body, type=Partitions)
                    )
                    return json_response(HTTPStatus.OK, {})
            return Response(HTTPStatus.NOT_FOUND)

        server = HttpServer(handle)
        address = await nursery.start(server.run, LOOPBACK, control_port)
        print(f"control {address}", flush=True)


def main() -> None:
    """Run the relay until interrupted."""
    parser = argparse.ArgumentParser(
        description="TCP relay that can partition network paths"
    )
    parser.add_argument("--control-port", type=int, default=0)
    trio.run(_serve, parser.parse_args().control_port)


if __name__ == "__main__":
    main()
