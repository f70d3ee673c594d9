"""Tests of a front process before its slow imports and its first state."""

from __future__ import annotations

import signal
import socket
import tempfile
import unittest
from pathlib import Path

import trio

from ibisfront.core.clock import Clock
from ibisfront.front.early_start import is_any_listening
from ibisfront.front.process import FrontProcess
from ibisfront.gateway.messages import InboundRequest
from ibisfront.gateway.settings import GatewaySettings
from ibisfront.gateway.state.configuration import (
    CallerLimits,
    Configuration,
    RoutedService,
)
from ibisfront.http1.listening import listening_socket
from ibisfront.platform.settings import SETTINGS_PATH_VARIABLE
from ibisfront.testing.gateway_fixture import HOST, forward_route
from ibisfront.testing.processes import RunningProcess, free_address
from ibisfront.testing.soak.fronts import SoakFront
from ibisfront.tests import trio_test, trio_test_real_clock


class EarlyListeningTest(unittest.TestCase):
    """Whether callers' connections are held while the process starts.

    After a power loss of all machines, callers make their last attempt when the
    machines are up and no process listens yet, and fail if refused. After the
    loss of one machine a refused connection is better, as the next one reaches
    an instance that serves.
    """

    def test_no_address_listens_if_all_refuse(self):
        self.assertFalse(is_any_listening([free_address(), free_address()]))
        self.assertFalse(is_any_listening([]))

    def test_listening_address_is_detected(self):
        address = free_address()
        with listening_socket(address):
            self.assertTrue(is_any_listening([free_address(), address]))

    def test_unresponsive_address_does_not_delay_the_start(self):
        """A machine without power does not answer; the start must continue.

        It is simulated by a full backlog, which drops the next SYN packet.
        """
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            host, port = listener.getsockname()
            pending = [socket.socket() for _ in range(3)]
            for sock in pending:
                sock.setblocking(False)
                sock.connect_ex((host, port))
            self.assertFalse(is_any_listening([f"{host}:{port}"]))
            for sock in pending:
                sock.close()


RELOADED_WHILE_STARTING = """
import os, signal
from ibisfront.front.early_start import start_early
start_early()
os.kill(os.getpid(), signal.SIGHUP)
print("listening alive", flush=True)
"""


STARTED_WITHOUT_CHILDREN = """
import runpy, sys
def forbid(event, arguments):
    if event in ("subprocess.Popen", "os.fork", "os.posix_spawn", "os.system"):
        raise RuntimeError(f"{event} {arguments[:2]}")
sys.addaudithook(forbid)
runpy.run_module("ibisfront.front", run_name="__main__", alter_sys=True)
"""


class EarlyChildTest(unittest.TestCase):
    """A child process, started while the front process listens already."""

    @trio_test_real_clock
    async def test_killed_process_leaves_no_child_that_keeps_its_address(self):
        """Guards against a next start that fails with "address in use".

        A child that has not run its own program yet holds the listening socket. If
        the front process is killed meanwhile, callers' connections are accepted by
        nobody, and its address is in use.
        """
        with tempfile.TemporaryDirectory() as folder:
            front = SoakFront(0, Path(folder))
            front.store_proxy.address = free_address()
            front.write_settings([])
            environment = {SETTINGS_PATH_VARIABLE: f"{folder}/{front.name}.toml"}
            async with RunningProcess(
                ["-c", STARTED_WITHOUT_CHILDREN], environment=environment
            ) as process:
                self.assertIn("front-0 starts.", await process.read_prefixed("{"))
            await front.close()


class EarlyReloadTest(unittest.TestCase):
    """A settings file that changes while the process starts."""

    @trio_test_real_clock
    async def test_reload_signal_does_not_end_a_starting_process(self):
        """Guards against a process that ends when it is told to reload too early."""
        with tempfile.TemporaryDirectory() as folder:
            front = SoakFront(0, Path(folder))
            front.store_proxy.address = free_address()
            front.write_settings([])
            environment = {SETTINGS_PATH_VARIABLE: f"{folder}/{front.name}.toml"}
            async with RunningProcess(
                ["-c", RELOADED_WHILE_STARTING], environment=environment
            ) as process:
                self.assertEqual(await process.read_prefixed("listening "), "alive")
            await front.close()


class RepeatedStopTest(unittest.TestCase):
    """Signals that arrive while a process stops."""

    @trio_test_real_clock
    async def test_signals_during_a_stop_do_not_cut_it_short(self):
        """Guards against requests cut off by a second signal within the grace."""
        with tempfile.TemporaryDirectory() as folder:
            front = SoakFront(0, Path(folder))
            front.store_proxy.address = free_address()
            front.write_settings([])
            await front.start()
            log = Path(folder) / f"{front.name}.log"
            for message, number in (
                ("starts", signal.SIGTERM),
                ("shutdown started", signal.SIGTERM),
                ("shutdown started", signal.SIGHUP),
            ):
                await self.logged(log, message)
                front.send(number)
            self.assertEqual(await front.wait(), 0)
            self.assertIn("shutdown ended", log.read_text())
            await front.close()

    async def logged(self, log, message):
        """Wait until a process has logged a message."""
        for _ in range(1_000):
            if message in log.read_text():
                return
            await trio.sleep(0.05)
        self.fail(f"not logged: {message}")


class EarlyRequestTest(unittest.TestCase):
    """Requests that arrive before the state that they need."""

    async def _reason_and_latency_s(
        self, *, configured_after_s, deadline_ms, sent_at_s=0.0
    ):
        """Return the reason of a request's answer, and its latency."""
        async with trio.open_nursery() as nursery:
            settings = GatewaySettings(
                instance="i0",
                zone="z0",
                callers_address="",
                ready_address="",
                store_address="",
            )
            process = FrontProcess(settings, clock=Clock(), nursery=nursery)

            async def configure():
                await trio.sleep(configured_after_s)
                services = {"archive": RoutedService("archive", 25)}
                process.apply_configuration(
                    Configuration(1, (forward_route(),), services, CallerLimits())
                )
                process.replace_servers([], after_outage=False)

            nursery.start_soon(configure)
            await trio.sleep(sent_at_s)
            started_s = trio.current_time()
            request = InboundRequest(
                b"GET", b"/fetch/a", HOST, "r", deadline_ms, [], b"", 0.0
            )
            reply = await process.gateway.answer(request)
            took_s = trio.current_time() - started_s
            nursery.cancel_scope.cancel()
        return reply.reason, took_s

    @trio_test
    async def test_request_waits_briefly_for_the_configuration(self):
        """Guards against rejecting all early callers after a restart."""
        reason, took_s = await self._reason_and_latency_s(
            configured_after_s=0.04, deadline_ms=400.0
        )
        self.assertEqual(reason, "out_of_reach")
        self.assertLess(took_s, 0.05)

    @trio_test
    async def test_request_does_not_wait_for_an_unavailable_store(self):
        """Guards against holding callers throughout an outage."""
        for sent_at_s, max_wait_s in ((0.0, 0.1), (1.0, 0.0)):
            reason, took_s = await self._reason_and_latency_s(
                configured_after_s=9.0, deadline_ms=400.0, sent_at_s=sent_at_s
            )
            self.assertEqual(reason, "no_configuration")
            self.assertLessEqual(took_s, max_wait_s + 1e-6)
