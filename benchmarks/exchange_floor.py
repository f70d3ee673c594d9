"""Processor time of one exchange on an open connection, without any codec.

Run ``python -m benchmarks.exchange_floor``. Each way sends bytes that were
made before and reads until the reply is whole, so that it bounds what a
cheaper codec can bring. The far end is another process, which is not counted.
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

__all__ = ["Way", "main", "measure"]

CONNECTIONS = 180
SUB_REQUESTS_PER_ROUND = 7_200
ROUNDS = 5
JOINED = 24
"""Sub-requests in one exchange when they are joined."""

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


class Way(msgspec.Struct, frozen=True):
    """What one sub-request costs, one way of sending it.

    Attributes
    ----------
    name : str
        The way.
    sub_request_us : float
        Processor time a sub-request in this process, the best round.
    """

    name: str
    sub_request_us: float


async def measure(address: tuple[str, int], *, rounds: int = ROUNDS) -> list[Way]:
    """Measure every way against a far end."""
    return [
        Way("trio, a task each", await _with_trio(address, joined=1, rounds=rounds)),
        Way(
            f"trio, {JOINED} joined in one exchange",
            await _with_trio(address, joined=JOINED, rounds=rounds),
        ),
        Way("plain sockets and epoll", _with_sockets(address, rounds=rounds)),
    ]


async def _with_trio(address: tuple[str, int], *, joined: int, rounds: int) -> float:
    async with AsyncExitStack() as stack:
        streams = []
        for _ in range(CONNECTIONS):
            stream = await trio.open_tcp_stream(*address)
            streams.append(await stack.enter_async_context(stream))

        async def ask_all() -> None:
            async with trio.open_nursery() as nursery:
                for stream in streams:
                    nursery.start_soon(_exchange, stream, joined)

        return await _best_us(ask_all, CONNECTIONS * joined, rounds)


async def _exchange(stream: trio.SocketStream, joined: int) -> None:
    await stream.send_all(REQUEST * joined)
    missing = len(REPLY) * joined
    while missing > 0:
        missing -= len(await stream.receive_some(READ_BYTES))


async def _best_us(
    ask_all: Callable[[], Awaitable[None]], sub_requests: int, rounds: int
) -> float:
    times = max(1, SUB_REQUESTS_PER_ROUND // sub_requests)
    await ask_all()
    spent_s = []
    for _ in range(rounds):
        started_s = time.process_time()
        for _ in range(times):
            await ask_all()
        spent_s.append(time.process_time() - started_s)
    return min(spent_s) / (times * sub_requests) * MICROSECONDS_PER_SECOND


def _with_sockets(address: tuple[str, int], *, rounds: int) -> float:
    times = SUB_REQUESTS_PER_ROUND // CONNECTIONS
    with ExitStack() as stack:
        poll = stack.enter_context(select.epoll())
        connected = {}
        for _ in range(CONNECTIONS):
            connection = stack.enter_context(socket.create_connection(address))
            connection.setblocking(False)
            poll.register(connection, select.EPOLLIN)
            connected[connection.fileno()] = connection
        spent_s = []
        for _ in range(rounds):
            started_s = time.process_time()
            for _ in range(times):
                _ask_all_plainly(poll, connected)
            spent_s.append(time.process_time() - started_s)
    return min(spent_s) / (times * CONNECTIONS) * MICROSECONDS_PER_SECOND


def _ask_all_plainly(poll: select.epoll, connected: dict[int, socket.socket]) -> None:
    for connection in connected.values():
        connection.send(REQUEST)
    missing = len(REPLY) * len(connected)
    while missing > 0:
        for number, _ in poll.poll():
            missing -= len(connected[number].recv(READ_BYTES))


def serve() -> None:
    """Answer each request on each connection with the same reply."""
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
                _answer(key.fileobj, pending, selector)


def _answer(
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
    read = pending.get(connection.fileno(), 0) + len(data)
    whole, pending[connection.fileno()] = divmod(read, len(REQUEST))
    connection.sendall(REPLY * whole)


async def _measure_all(rounds: int) -> list[Way]:
    async with RunningProcess(["-m", "benchmarks.exchange_floor", "--serve"]) as child:
        line = await child.read_prefixed(LISTENING)
        host, _, port = line.strip().rpartition(":")
        return await measure((host, int(port)), rounds=rounds)


def main() -> None:
    """Print what each way costs."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.exchange_floor")
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    parser.add_argument("--serve", action="store_true", help="be the far end")
    options = parser.parse_args()
    if options.serve:
        serve()
        return
    ways = trio.run(partial(_measure_all, options.rounds))
    for way in ways:
        sys.stdout.write(f"{way.name:32}{way.sub_request_us:8.1f} us\n")


if __name__ == "__main__":
    main()
