"""Listening sockets; this module has no slow imports."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisfront.core.types import Address

__all__ = ["RECEIVE_BUFFER_BYTES", "limit_buffers", "listening_socket"]

_BACKLOG = 1_024
"""Connections that the kernel queues until they are accepted: those of one
second when all callers reconnect at once."""

RECEIVE_BUFFER_BYTES = 16 * 1024
"""What the kernel may hold of each connection for the process to read: on some thousand
connections, its usual megabytes would not fit in memory."""

_SEND_BUFFER_BYTES = 64 * 1024
"""What the kernel may hold of an answer that a caller does not read."""


def limit_buffers(sock: socket.socket) -> None:
    """Limit what the kernel holds of each connection that a socket will accept.

    They inherit both sizes, which the kernel doubles for its overhead.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)


def listening_socket(address: Address) -> socket.socket:
    """Return a non-blocking socket that listens on an address.

    Raises
    ------
    OSError
        If the address is in use or not local.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    limit_buffers(sock)
    sock.setblocking(False)
    sock.bind((host, int(port)))
    sock.listen(_BACKLOG)
    return sock
