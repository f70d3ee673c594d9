"""Starts and ends processes of this project for tests, demo and benchmarks."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from contextlib import ExitStack, closing
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from types import TracebackType

__all__ = [
    "CONTROL",
    "LISTENING",
    "LOOPBACK",
    "RunningProcess",
    "address_of",
    "free_address",
    "reserve_address",
]

LOOPBACK = "127.0.0.1"

LISTENING = "listening "
"""Prefix of the lines with which a process prints its listening addresses."""

CONTROL = "control "
"""Prefix of the line with which a process prints its control API address."""

_END_TIMEOUT_S = 5.0


def free_address(host: str = LOOPBACK) -> str:
    """Return an address that nothing listens on, for tests of refused connections."""
    with closing(reserve_address(host)) as reserved:
        return address_of(reserved)


def reserve_address(host: str = LOOPBACK) -> socket.socket:
    """Return a socket bound to a port picked by the system.

    While the socket is open and not listening, no outgoing connection gets its
    port, and a process that sets ``SO_REUSEADDR`` can listen there. A port
    that is only probed and closed can be taken by another connection before
    the daemon binds it, which then fails with "address in use".
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind((host, 0))
    return reserved


def address_of(bound: socket.socket) -> str:
    """Return the ``HOST:PORT`` that a socket is bound to."""
    host, port = bound.getsockname()[:2]
    return f"{host}:{port}"


class RunningProcess:
    """A child process that is ended when its context exits.

    Parameters
    ----------
    arguments : sequence of str
        Arguments of the Python interpreter.
    log_path : str, optional
        File for standard error, which is discarded by default.
    output_path : str, optional
        File for standard output; by default ``read_prefixed`` reads it.
    environment : mapping, optional
        Variables added to those of this process.
    """

    def __init__(
        self,
        arguments: Sequence[str],
        *,
        log_path: str | None = None,
        output_path: str | None = None,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self._output_path = output_path
        self._environment = {**os.environ, **(environment or {})}
        self._arguments = [sys.executable, *arguments]
        self._log_path = log_path
        self._process: subprocess.Popen[bytes] | None = None

    async def __aenter__(self) -> RunningProcess:
        """Start the process."""
        target = subprocess.DEVNULL
        if self._log_path is None:
            self._process = self._start(target)
        else:
            with open(self._log_path, "ab") as log:  # noqa: ASYNC230
                self._process = self._start(log.fileno())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End the process, with SIGTERM first."""
        with trio.CancelScope(shield=True):
            await self.end()

    @property
    def pid(self) -> int:
        """The process's id."""
        return self._started().pid

    @property
    def exit_code(self) -> int | None:
        """The exit code; None while the process runs."""
        return self._started().poll()

    async def read_prefixed(self, prefix: str) -> str:
        """Return the rest of the next line of output that starts with a prefix.

        Raises
        ------
        RuntimeError
            If the process ends first.
        """
        output = self._started().stdout
        assert output is not None
        while True:
            line = await trio.to_thread.run_sync(
                output.readline, abandon_on_cancel=True
            )
            if not line:
                raise RuntimeError(f"{self._arguments} ended before {prefix!r}")
            text: str = line.decode().strip()
            if text.startswith(prefix):
                return text.removeprefix(prefix)

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to this process only."""
        self._started().send_signal(signal_number)

    async def wait(self) -> int:
        """Wait until the process ends and return its exit code."""
        return await trio.to_thread.run_sync(
            self._started().wait, abandon_on_cancel=True
        )

    async def end(self) -> None:
        """Resume the process, terminate it, and kill it after a timeout."""
        process = self._started()
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.terminate()
            with trio.move_on_after(_END_TIMEOUT_S):
                await self.wait()
        if process.poll() is None:
            process.kill()
            await self.wait()
        if process.stdout is not None:
            process.stdout.close()

    def _start(self, error_target: int) -> subprocess.Popen[bytes]:
        with ExitStack() as stack:
            output = subprocess.PIPE
            if self._output_path is not None:
                output = stack.enter_context(open(self._output_path, "ab")).fileno()
            return subprocess.Popen(
                self._arguments,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=error_target,
                env=self._environment,
            )

    def _started(self) -> subprocess.Popen[bytes]:
        if self._process is None:
            raise RuntimeError("enter the context first")
        return self._process
