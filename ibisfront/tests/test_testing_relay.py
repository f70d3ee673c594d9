"""Tests of the relay that partitions zones."""

from __future__ import annotations

import unittest

import trio
import trio.testing

from ibisfront.testing.relay import Partition, Partitions, Relay, RelayTarget
from ibisfront.tests import trio_test_real_clock

TARGET_LOCATION = "far"


async def _echo(stream: trio.SocketStream) -> None:
    async for data in stream:
        await stream.send_all(data)


class RelayTest(unittest.TestCase):
    """A partitioned path forwards and closes nothing, and recovers when healed."""

    @trio_test_real_clock
    async def test_partition_holds_bytes_back_until_healed(self) -> None:
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, _echo, [listener])
            port = listener.socket.getsockname()[1]
            relay = Relay(nursery)
            address = await relay.open(
                RelayTarget(f"127.0.0.1:{port}", TARGET_LOCATION)
            )
            host, _, relay_port = address.address.rpartition(":")
            stream = await trio.open_tcp_stream(host, int(relay_port))
            await stream.send_all(b"one")
            self.assertEqual(await stream.receive_some(), b"one")

            relay.set_partitions(Partitions((Partition("127.0.0.1", TARGET_LOCATION),)))
            await stream.send_all(b"two")
            received = trio.Event()

            async def receive() -> None:
                self.assertEqual(await stream.receive_some(), b"two")
                received.set()

            nursery.start_soon(receive)
            await trio.testing.wait_all_tasks_blocked(0.05)
            self.assertFalse(received.is_set())
            relay.set_partitions(Partitions())
            await received.wait()
            nursery.cancel_scope.cancel()

    @trio_test_real_clock
    async def test_client_that_gave_up_during_partition_is_not_forwarded(self) -> None:
        """Guards against healthy servers refusing connections after a partition.

        If instances connect, send and give up during the partition, the relay
        must not open all of these dead connections at the target when it heals;
        they would exceed its connection limit.
        """
        async with trio.open_nursery() as nursery:
            accepted: list[bytes] = []
            arrived = trio.Event()

            async def record_first_bytes(stream: trio.SocketStream) -> None:
                accepted.append(bytes(await stream.receive_some()))
                arrived.set()

            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, record_first_bytes, [listener])
            port = listener.socket.getsockname()[1]
            relay = Relay(nursery)
            address = await relay.open(
                RelayTarget(f"127.0.0.1:{port}", TARGET_LOCATION)
            )
            host, _, relay_port = address.address.rpartition(":")
            relay.set_partitions(Partitions((Partition("127.0.0.1", TARGET_LOCATION),)))
            abandoned = await trio.open_tcp_stream(host, int(relay_port))
            await abandoned.send_all(b"given up")
            await trio.testing.wait_all_tasks_blocked(0.05)
            await abandoned.aclose()
            waiting = await trio.open_tcp_stream(host, int(relay_port))
            await waiting.send_all(b"patient")
            await trio.testing.wait_all_tasks_blocked(0.05)
            relay.set_partitions(Partitions())
            await arrived.wait()
            await trio.testing.wait_all_tasks_blocked(0.05)
            self.assertEqual(accepted, [b"patient"])
            nursery.cancel_scope.cancel()
