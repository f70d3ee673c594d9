"""A TCP relay whose paths can be cut, so that zones lose each other.

Run ``python -m ibisfront.testing.relay``. It prints ``control HOST:PORT``.
``POST /control/relays`` with a :class:`RelayTarget` opens a listener before a
target and answers its address; ``POST /control/cuts`` with :class:`Cuts`
replaces the cuts. Over a cut path nothing is forwarded and nothing is closed,
as when a network drops every packet.
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

__all__ = ["Cut", "Cuts", "Relay", "RelayAddress", "RelayTarget", "main"]

LOOPBACK = "127.0.0.1"
_CHUNK_BYTES = 65_536
_TCP_ESTABLISHED = 1


class RelayTarget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a relay listener stands before.

    Attributes
    ----------
    address : str
        The target's ``HOST:PORT``.
    place : str
        Where the target is; a source's place is the IP it connects from.
    """

    address: str
    place: str


class RelayAddress(msgspec.Struct, frozen=True):
    """Where a relay listener listens."""

    address: str


class Cut(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Two places between which nothing passes, either way."""

    first: str
    second: str

    def parts(self, one: str, other: str) -> bool:
        """Return whether two places are on its two sides."""
        return {one, other} == {self.first, self.second}


class Cuts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Every cut in force."""

    cuts: tuple[Cut, ...] = ()


class Relay:
    """Every relay listener of a process, and the cuts.

    Parameters
    ----------
    nursery : trio.Nursery
        Where listeners and connections run.
    """

    __slots__ = ("_changed", "_cuts", "_nursery")

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._cuts = Cuts()
        self._changed = trio.Event()

    async def open(self, target: RelayTarget) -> RelayAddress:
        """Open a listener before a target."""
        (listener,) = await trio.open_tcp_listeners(0, host=LOOPBACK)

        async def connected(stream: trio.SocketStream) -> None:
            await self._carry(stream, target)

        self._nursery.start_soon(trio.serve_listeners, connected, [listener])
        return RelayAddress(f"{LOOPBACK}:{listener.socket.getsockname()[1]}")

    def set_cuts(self, cuts: Cuts) -> None:
        """Replace the cuts; what waits at an ended one goes on."""
        self._cuts = cuts
        self._changed.set()
        self._changed = trio.Event()

    async def _carry(self, source: trio.SocketStream, target: RelayTarget) -> None:
        place = source.socket.getpeername()[0]
        host, _, port = target.address.rpartition(":")
        async with source:
            await self._passable(place, target.place)
            # A source that gave up during a cut would not have got through
            # at all. Connecting for it now would use up the target's
            # connection limit with dead connections when the cut ends.
            if not _is_established(source):
                return
            with suppress(OSError):
                async with await trio.open_tcp_stream(host, int(port)) as onward:
                    await self._pump_both(source, onward, place, target.place)

    async def _pump_both(
        self,
        source: trio.SocketStream,
        onward: trio.SocketStream,
        place: str,
        target_place: str,
    ) -> None:
        async def pump(reader: trio.SocketStream, writer: trio.SocketStream) -> None:
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                while data := await reader.receive_some(_CHUNK_BYTES):
                    await self._passable(place, target_place)
                    await writer.send_all(data)
            await self._passable(place, target_place)
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(pump, source, onward)
            nursery.start_soon(pump, onward, source)

    async def _passable(self, one: str, other: str) -> None:
        while any(cut.parts(one, other) for cut in self._cuts.cuts):
            await self._changed.wait()


def _is_established(stream: trio.SocketStream) -> bool:
    """Return whether neither end has closed a connection, by the kernel's word.

    Bytes that still wait to be read hide the end of the stream from a read.
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
                    relay.set_cuts(msgspec.json.decode(request.body, type=Cuts))
                    return json_response(HTTPStatus.OK, {})
            return Response(HTTPStatus.NOT_FOUND)

        server = HttpServer(handle)
        address = await nursery.start(server.run, LOOPBACK, control_port)
        print(f"control {address}", flush=True)


def main() -> None:
    """Run the relay until interrupted."""
    parser = argparse.ArgumentParser(description="A relay whose paths can be cut")
    parser.add_argument("--control-port", type=int, default=0)
    trio.run(_serve, parser.parse_args().control_port)


if __name__ == "__main__":
    main()
