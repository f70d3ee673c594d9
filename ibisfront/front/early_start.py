"""What a front process does before its slow imports.

Load pattern: all machines lose power and come back. Callers whose connection was
lost retry once, when the machines are up but no process listens yet, and fail if
that connection is refused. A process that listens first holds their connections for
the 0.2 s of its imports, then serves them.
"""

from __future__ import annotations

import select
import signal
import socket
import sys
from pathlib import Path

import msgspec

from ibisfront.core.environment import settings_path
from ibisfront.core.errors import IbisfrontError
from ibisfront.core.types import Address
from ibisfront.gateway.settings import GatewaySettings
from ibisfront.http1.listening import listening_socket
from ibisfront.platform.settings import (
    SETTINGS_PATH_VARIABLE,
    read_platform_settings,
)

__all__ = ["EarlyStart", "is_any_listening", "start_early"]

_EXIT_BAD_SETTINGS = 2

_CONNECT_TIMEOUT_MS = 10
"""Time in which another instance must accept a connection: five round trips between
zones."""


class EarlyStart(msgspec.Struct):
    """Settings and listening socket at the start of the slow imports.

    Attributes
    ----------
    path : Path
        The settings file.
    modified_ns : int
        When that file was last modified before it was read.
    settings : GatewaySettings
        Its content.
    callers_socket : socket.socket or None
        Already listens for callers, if no other instance accepts connections.
    """

    path: Path
    modified_ns: int
    settings: GatewaySettings
    callers_socket: socket.socket | None


def start_early() -> EarlyStart:
    """Read the settings, and listen for callers if no other instance does.

    While other instances serve, a refused connection is better for a caller: one
    of them accepts its next connection at once.

    A signal to reload the settings is ignored until the daemon handles it; by default
    it ends the process. A file that changes meanwhile is reloaded by its time.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        path = settings_path(SETTINGS_PATH_VARIABLE)
        modified_ns = _modified_ns(path)
        settings = read_platform_settings(path)
    except IbisfrontError as error:
        sys.stderr.write(f"ibisfront: {error.detail}\n")
        raise SystemExit(_EXIT_BAD_SETTINGS) from error
    others = [seed for seed in settings.seeds if seed != settings.peers_address]
    callers_socket = None
    if not is_any_listening(others):
        callers_socket = listening_socket(settings.callers_address)
    return EarlyStart(path, modified_ns, settings, callers_socket)


def _modified_ns(path: Path) -> int:
    """Return when a file was modified; 0 if that is unknown."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # Reading it fails too, and says why.
        return 0


def is_any_listening(addresses: list[Address]) -> bool:
    """Return whether any of the addresses accepts a connection at once."""
    sockets = [_start_connecting(address) for address in addresses]
    try:
        return _is_any_connected(sockets)
    finally:
        for sock in sockets:
            sock.close()


def _is_any_connected(sockets: list[socket.socket]) -> bool:
    """Wait until a connection is accepted, all have failed, or the timeout passes."""
    pending = {sock.fileno(): sock for sock in sockets}
    poll = select.poll()
    for descriptor in pending:
        poll.register(descriptor, select.POLLOUT)
    while pending:
        events = poll.poll(_CONNECT_TIMEOUT_MS)
        if not events:
            return False
        for descriptor, _ in events:
            sock = pending.pop(descriptor)
            poll.unregister(descriptor)
            if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return True
    return False


def _start_connecting(address: Address) -> socket.socket:
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.connect_ex((host, int(port)))
    return sock
