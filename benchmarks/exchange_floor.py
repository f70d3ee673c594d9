"""Processor time of one exchange on an open connection, without a codec.

Run ``python -m benchmarks.exchange_floor``. Each variant sends prepared
bytes and reads until the reply is complete, which gives a lower bound for any
codec. The server is another process, which is not counted.
"""

from __future__ import annotations

import argparse
import select
import selectors
import socket
import sys
import time
from contextlib import AsyncExitStack, ExitStack
from functools import partial
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.testing.processes import LISTENING, RunningProcess

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["Variant", "main", "measure"]

CONNECTIONS = 180
SUB_REQUESTS_PER_ROUND = 7_200
ROUNDS = 5
BATCH_SIZE = 24
"""Sub-requests in one batched exchange."""

READ_BYTES = 65_536
MICROSECONDS_PER_SECOND = 1e6
LOOPBACK = "127.0.0.1"
BODY = b'{"service":"s0","request":{"marker":"m"}}'
REQUEST = (
    b"POST /search HTTP/1.1\r\nHost: 127.0.0.1\r\n"
    b"Content-Type: application/json\r\nContent-Length: %d\r\n"
    b"X-Request-Id: r\r\nX-Deadline-Ms: 60000\r\nX-Snapshot: snapshot-1\r\n\r\n%s"
    % (len(BODY), BODY)
)
ROWS = b'{"rows":[{"id":"s0-fc5a599dbca26068","score":0.9857536323834211}]}'
REPLY = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Content-Length: %d\r\nX-Request-Id: r\r\nX-Snapshots: snapshot-1\r\n\r\n%s"
    % (len(ROWS), ROWS)
)


class Variant(msgspec.Struct, frozen=True):
    """Cost of one sub-request in one variant of sending it.

    Attributes
    ----------
    name : str
        Name of the variant.
    sub_request_us : float
        Processor time per sub-request in this process, in the best round.
    """

    name: str
    sub_request_us: float


async def measure(address: tuple[str, int], *, rounds: int = ROUNDS) -> list[Variant]:
    """Measure every variant against a server."""
    return [
        Variant(
            "trio, one task each",
            await _with_trio(address, batch_size=1, rounds=rounds),
        ),
        Variant(
            f"trio, {BATCH_SIZE} batched in one exchange",
            await _with_trio(address, batch_size=BATCH_SIZE, rounds=rounds),
        ),
        Variant("plain sockets and epoll", _with_sockets(address, rounds=rounds)),
    ]


async def _with_trio(
    address: tuple[str, int], *, batch_size: int, rounds: int
) -> float:
    async with AsyncExitStack() as stack:
        streams = []
        for _ in range(CONNECTIONS):
            stream = await trio.open_tcp_stream(*address)
            streams.append(await stack.enter_async_context(stream))

        async def send_all() -> None:
            async with trio.open_nursery() as nursery:
                for stream in streams:
                    nursery.start_soon(_exchange, stream, batch_size)

        return await _best_us(send_all, CONNECTIONS * batch_size, rounds)


async def _exchange(stream: trio.SocketStream, batch_size: int) -> None:
    await stream.send_all(REQUEST * batch_size)
    remaining_bytes = len(REPLY) * batch_size
    while remaining_bytes > 0:
        remaining_bytes -= len(await stream.receive_some(READ_BYTES))


async def _best_us(
    send_all: Callable[[], Awaitable[None]], sub_requests: int, rounds: int
) -> float:
    repetitions = max(1, SUB_REQUESTS_PER_ROUND // sub_requests)
    await send_all()
    spent_s = []
    for _ in range(rounds):
        started_s = time.process_time()
        for _ in range(repetitions):
            await send_all()
        spent_s.append(time.process_time() - started_s)
    return min(spent_s) / (repetitions * sub_requests) * MICROSECONDS_PER_SECOND


def _with_sockets(address: tuple[str, int], *, rounds: int) -> float:
    repetitions = SUB_REQUESTS_PER_ROUND // CONNECTIONS
    with ExitStack() as stack:
        poll = stack.enter_context(select.epoll())
        connections = {}
        for _ in range(CONNECTIONS):
            connection = stack.enter_context(socket.create_connection(address))
            connection.setblocking(False)
            poll.register(connection, select.EPOLLIN)
            connections[connection.fileno()] = connection
        spent_s = []
        for _ in range(rounds):
            started_s = time.process_time()
            for _ in range(repetitions):
                _send_all_with_sockets(poll, connections)
            spent_s.append(time.process_time() - started_s)
    return min(spent_s) / (repetitions * CONNECTIONS) * MICROSECONDS_PER_SECOND


def _send_all_with_sockets(
    poll: select.epoll, connections: dict[int, socket.socket]
) -> None:
    for connection in connections.values():
        connection.send(REQUEST)
    remaining_bytes = len(REPLY) * len(connections)
    while remaining_bytes > 0:
        for number, _ in poll.poll():
            remaining_bytes -= len(connections[number].recv(READ_BYTES))


def serve() -> None:
    """Respond to each request on each connection with the same reply."""
    selector = selectors.DefaultSelector()
    listener = socket.create_server((LOOPBACK, 0), backlog=CONNECTIONS)
    selector.register(listener, selectors.EVENT_READ)
    sys.stdout.write(f"{LISTENING}{LOOPBACK}:{listener.getsockname()[1]}\n")
    sys.stdout.flush()
    pending: dict[int, int] = {}
    while True:
        for key, _ in selector.select():
            if key.fileobj is listener:
                connection, _ = listener.accept()
                selector.register(connection, selectors.EVENT_READ)
            elif isinstance(key.fileobj, socket.socket):
                _respond(key.fileobj, pending, selector)


def _respond(
    connection: socket.socket,
    pending: dict[int, int],
    selector: selectors.BaseSelector,
) -> None:
    data = connection.recv(READ_BYTES)
    if not data:
        selector.unregister(connection)
        pending.pop(connection.fileno(), None)
        connection.close()
        return
    received_bytes = pending.get(connection.fileno(), 0) + len(data)
    complete, pending[connection.fileno()] = divmod(received_bytes, len(REQUEST))
    connection.sendall(REPLY * complete)


async def _measure_all(rounds: int) -> list[Variant]:
    async with RunningProcess(["-m", "benchmarks.exchange_floor", "--serve"]) as child:
        line = await child.read_prefixed(LISTENING)
        host, _, port = line.strip().rpartition(":")
        return await measure((host, int(port)), rounds=rounds)


def main() -> None:
    """Print the cost of each variant."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.exchange_floor")
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    parser.add_argument("--serve", action="store_true", help="run the server")
    options = parser.parse_args()
    if options.serve:
        serve()
        return
    variants = trio.run(partial(_measure_all, options.rounds))
    for variant in variants:
        sys.stdout.write(f"{variant.name:32}{variant.sub_request_us:8.1f} us\n")


if __name__ == "__main__":
    main()
