"""Tests of the TCP streams between instances."""

from __future__ import annotations

import unittest

import trio

from ibisfront.adapters.peer_transport import TcpTransport
from ibisfront.testing.processes import free_address
from ibisfront.tests import trio_test_real_clock


class TcpTransportTest(unittest.TestCase):
    """Streams open, or fail in the same way as for an absent peer."""

    @trio_test_real_clock
    async def test_bytes_are_carried_in_both_directions(self) -> None:
        address = free_address()
        transport = TcpTransport(address)

        async def echo(stream: trio.abc.Stream) -> None:
            await stream.send_all(await stream.receive_some(100))

        async with trio.open_nursery() as nursery:
            await nursery.start(transport.listen, echo)
            stream = await transport.dial(address)
            await stream.send_all(b"heartbeat")
            self.assertEqual(await stream.receive_some(100), b"heartbeat")
            nursery.cancel_scope.cancel()

    @trio_test_real_clock
    async def test_a_malformed_address_fails_like_an_absent_peer(self) -> None:
        """Guards against processes ending on a malformed address.

        The platform can list an instance with one. An error other than that of
        an absent peer would end every process that dials it.
        """
        transport = TcpTransport(free_address())
        for address in ("", "nonsense", "127.0.0.1:x", "127.0.0.1:1"):
            with self.subTest(address), self.assertRaises(OSError):
                await transport.dial(address)
