"""Tests of what a front process does before its longer imports."""

from __future__ import annotations

import socket
import unittest

from ibisfront.front.early_start import is_anyone_up
from ibisfront.http1.listening import listening_socket
from ibisfront.testing.processes import free_address


class EarlyListeningTest(unittest.TestCase):
    """Whether callers are kept while the process starts.

    After a loss of power of all machines callers make their last try when the
    machines are up and nothing listens yet: refused there, they fail. After the
    loss of one machine a refused connection is better, as the next one reaches
    an instance that serves.
    """

    def test_nobody_is_up_if_all_refuse(self):
        self.assertFalse(is_anyone_up([free_address(), free_address()]))
        self.assertFalse(is_anyone_up([]))

    def test_one_that_listens_is_up(self):
        address = free_address()
        with listening_socket(address):
            self.assertTrue(is_anyone_up([free_address(), address]))

    def test_silence_is_not_waited_for(self):
        """A machine without power answers nothing; the start goes on.

        A full queue of new connections drops the first packet of the next.
        """
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            host, port = full.getsockname()
            keeping = [socket.socket() for _ in range(3)]
            for sock in keeping:
                sock.setblocking(False)
                sock.connect_ex((host, port))
            self.assertFalse(is_anyone_up([f"{host}:{port}"]))
            for sock in keeping:
                sock.close()
