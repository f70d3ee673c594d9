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

    @trio_test_real_clock
    async def test_a_source_that_gave_up_during_a_cut_never_gets_through(self) -> None:
        """Healthy servers refuse connections when a cut ends.

        Instances connected, sent and gave up while the cut lasted. When it
        ended, the relay opened all of these dead connections at the target
        at once, beyond its connection limit.
        """
        async with trio.open_nursery() as nursery:
            accepted: list[bytes] = []
            arrived = trio.Event()

            async def note(stream: trio.SocketStream) -> None:
                accepted.append(bytes(await stream.receive_some()))
                arrived.set()

            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, note, [listener])
            port = listener.socket.getsockname()[1]
            relay = Relay(nursery)
            address = await relay.open(RelayTarget(f"127.0.0.1:{port}", PLACE))
            host, _, relay_port = address.address.rpartition(":")
            relay.set_cuts(Cuts((Cut("127.0.0.1", PLACE),)))
            given_up = await trio.open_tcp_stream(host, int(relay_port))
            await given_up.send_all(b"given up")
            await trio.testing.wait_all_tasks_blocked(0.05)
            await given_up.aclose()
            patient = await trio.open_tcp_stream(host, int(relay_port))
            await patient.send_all(b"patient")
            await trio.testing.wait_all_tasks_blocked(0.05)
            relay.set_cuts(Cuts())
            await arrived.wait()
            await trio.testing.wait_all_tasks_blocked(0.05)
            self.assertEqual(accepted, [b"patient"])
            nursery.cancel_scope.cancel()
