"""Tests of the relay that cuts zones off."""

from __future__ import annotations

import unittest

import trio
import trio.testing

from ibisfront.testing.relay import Cut, Cuts, Relay, RelayTarget
from ibisfront.tests import trio_test_real_clock

PLACE = "far"


async def _echo(stream: trio.SocketStream) -> None:
    async for data in stream:
        await stream.send_all(data)


class RelayTest(unittest.TestCase):
    """A cut path passes nothing, closes nothing, and goes on when mended."""

    @trio_test_real_clock
    async def test_a_cut_holds_bytes_back_until_it_ends(self) -> None:
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, _echo, [listener])
            port = listener.socket.getsockname()[1]
            relay = Relay(nursery)
            address = await relay.open(RelayTarget(f"127.0.0.1:{port}", PLACE))
            host, _, relay_port = address.address.rpartition(":")
            stream = await trio.open_tcp_stream(host, int(relay_port))
            await stream.send_all(b"one")
            self.assertEqual(await stream.receive_some(), b"one")

            relay.set_cuts(Cuts((Cut("127.0.0.1", PLACE),)))
            await stream.send_all(b"two")
            received = trio.Event()

            async def receive() -> None:
                self.assertEqual(await stream.receive_some(), b"two")
                received.set()

            nursery.start_soon(receive)
            await trio.testing.wait_all_tasks_blocked(0.05)
            self.assertFalse(received.is_set())
            relay.set_cuts(Cuts())
            await received.wait()
            nursery.cancel_scope.cancel()
