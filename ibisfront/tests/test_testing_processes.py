"""Tests of the helpers for child processes."""

from __future__ import annotations

import socket
import unittest
from contextlib import closing

from ibisfront.testing.processes import LOOPBACK, address_of, reserve_address


class ReservedAddressTest(unittest.TestCase):
    """A reserved port stays available to the process it is reserved for."""

    def test_reserved_port_is_exclusive_but_can_be_listened_on(self) -> None:
        """Guards against daemons that fail with "address in use".

        If a free port is picked and closed before the daemon binds it, the
        system can give it to an outgoing connection of another process.
        """
        with closing(reserve_address()) as reserved:
            port = int(address_of(reserved).rpartition(":")[2])
            with closing(socket.socket()) as other_socket, self.assertRaises(OSError):
                other_socket.bind((LOOPBACK, port))
            with closing(socket.socket()) as daemon:
                daemon.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                daemon.bind((LOOPBACK, port))
                daemon.listen()
                with closing(socket.create_connection((LOOPBACK, port))):
                    pass
