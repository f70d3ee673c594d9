"""Crowds of callers that hold on to connections of a real front process."""

from __future__ import annotations

import os
import resource
import socket
import tempfile
import unittest
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from ibisfront.core.clock import Clock
from ibisfront.gateway.messages import CallerReply
from ibisfront.gateway.state.configuration import CallerLimits
from ibisfront.http1.caller_listener import CallerListener
from ibisfront.http1.listening import listening_socket
from ibisfront.http1.parser import MalformedMessageError, ReplyReader
from ibisfront.platform.headers import WIRE
from ibisfront.testing.object_store import FakeObjectStore
from ibisfront.testing.soak.fronts import SoakFront

HOST = "crowd.example"
MEMORY_MB = 100
MAXIMUM_DESCRIPTORS = 2_000
MAXIMUM_HEADER_BYTES = 16_384
MAXIMUM_BODY_BYTES = 262_144

_OWN_DESCRIPTORS = 6_000
_START_TIMEOUT_S = 30.0
_ANSWER_TIMEOUT_S = 30.0
_SETTLE_TIMEOUT_S = 60.0
_NO_PROGRESS_S = 10.0
_SAMPLE_PAUSE_S = 0.02
_CONNECTS_AT_ONCE = 50
_RETURNS = 2
_READ_BYTES = 65_536


class CrowdBackend:
    """A server that answers some paths at once and others never."""

    def __init__(self, name):
        self.name = name
        self.received = 0
        self.reply_bytes = 0
        self._sock = listening_socket("127.0.0.1:0")

    @property
    def address(self):
        host, port = self._sock.getsockname()
        return f"{host}:{port}"

    async def run(self):
        limits = CallerLimits(maximum_header_bytes=65_536, idle_timeout_ms=600_000.0)
        listener = CallerListener(
            self._sock,
            answer=self._answer,
            wire=WIRE,
            limits=lambda: limits,
            clock=Clock(),
        )
        await listener.run()

    async def _answer(self, request):
        self.received += 1
        if request.path.startswith("/held/"):
            await trio.sleep_forever()
        body = b"done"
        if request.path.startswith("/large/"):
            body = b"x" * self.reply_bytes
        headers = [
            (b"X-Request-Id", request.request_id.encode()),
            (b"X-Backend-Stamp", b"stamp"),
        ]
        return CallerReply(200, headers, body, "crowd")


class CrowdWorld:
    """A store, two servers and one front process with lowered limits."""

    def __init__(self, folder, *, memory_mb, maximum_descriptors):
        self.memory_bytes = memory_mb * 1_000_000
        self.maximum_descriptors = maximum_descriptors
        self.store = FakeObjectStore()
        limits = {"memoryMb": memory_mb, "maxFds": maximum_descriptors}
        self.front = SoakFront(0, Path(folder), limits=limits)
        self.backends = {name: CrowdBackend(name) for name in ("prompt", "slow")}
        self.unread_bytes = 0
        self.descriptors = 0
        self.held_bytes = 0

    @property
    def process_id(self):
        return self.front.process_id

    @asynccontextmanager
    async def running(self):
        async with trio.open_nursery() as nursery, self.store.running():
            for backend in self.backends.values():
                nursery.start_soon(backend.run)
                self.store.put("servers", f"i-{backend.name}", _entry(backend))
            self.store.put("config", "main", _configuration())
            self.front.store_proxy.address = self.store.address
            self.front.write_settings([])
            await self.front.start()
            resource.prlimit(
                self.process_id,
                resource.RLIMIT_NOFILE,
                (self.maximum_descriptors, self.maximum_descriptors),
            )
            try:
                with trio.fail_after(_START_TIMEOUT_S):
                    while await self.ask("/prompt/first") != 200:  # noqa: ASYNC110
                        await trio.sleep(0.1)
                nursery.start_soon(self._sample)
                yield
            finally:
                with trio.CancelScope(shield=True):
                    await self.front.close()
                nursery.cancel_scope.cancel()

    async def ask(self, path, *, body=b"", address=None):
        """Send one ordinary request on a new connection; return its status.

        0 stands for no answer in time, or none at all.
        """
        request = head_of(
            "POST" if body else "GET", path, b"Content-Length: %d\r\n" % len(body)
        )
        reader = ReplyReader(MAXIMUM_BODY_BYTES)
        with trio.move_on_after(_ANSWER_TIMEOUT_S):
            try:
                stream = await _connect(address or self.front.callers_address)
                async with stream:
                    await stream.send_all(request + b"\r\n" + body)
                    while not reader.messages:
                        data = await stream.receive_some(_READ_BYTES)
                        if not data:
                            return 0
                        reader.feed(data)
            except (OSError, trio.BrokenResourceError, MalformedMessageError):
                return 0
            return reader.messages[0].status
        return 0

    async def _sample(self):
        """Record what the process holds, with bytes that it has not read yet."""
        while self.front.is_running:
            self._record()
            await trio.sleep(_SAMPLE_PAUSE_S)

    def _record(self):
        try:
            held_bytes = resident_bytes(self.process_id)
            descriptors = len(os.listdir(f"/proc/{self.process_id}/fd"))
        except OSError:
            return  # the process has ended, which the check reports
        unread_bytes = _unread_bytes(self.front.ports)
        self.held_bytes = max(self.held_bytes, held_bytes + unread_bytes)
        self.unread_bytes = max(self.unread_bytes, unread_bytes)
        self.descriptors = max(self.descriptors, descriptors)


def raise_own_descriptors():
    """Let this process open a connection for each caller of a crowd."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (_OWN_DESCRIPTORS, hard))


def resident_bytes(process_id):
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


def _unread_bytes(ports):
    """Return the bytes that the kernel holds for the process to read."""
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        is_established = fields[3] == "01"
        if is_established and int(fields[1].partition(":")[2], 16) in ports:
            total += int(fields[4].partition(":")[2], 16)
    return total


class CrowdTest(unittest.TestCase):
    """Base of the tests: one front process, one crowd, one ordinary request."""

    @asynccontextmanager
    async def world(
        self, *, memory_mb=MEMORY_MB, maximum_descriptors=MAXIMUM_DESCRIPTORS
    ):
        """Run a front process; check at the end that it lived within its limits."""
        raise_own_descriptors()
        with tempfile.TemporaryDirectory() as folder:
            world = CrowdWorld(
                folder, memory_mb=memory_mb, maximum_descriptors=maximum_descriptors
            )
            async with world.running():
                yield world
                world._record()
                is_running = world.front.is_running
                failures = world.front.log.count("unexpected error")
            seen = (
                f"held {world.held_bytes / 1e6:.0f} MB, of these "
                f"{world.unread_bytes / 1e6:.0f} unread; "
                f"{world.descriptors} descriptors"
            )
            self.assertTrue(is_running, f"the process has ended: {seen}")
            self.assertLessEqual(world.held_bytes, world.memory_bytes, seen)
            self.assertLessEqual(world.descriptors, maximum_descriptors, seen)
            self.assertEqual(failures, 0, "unexpected errors in the log")

    async def check_crowd(
        self, pieces, *, callers, address=None, reads=True, reply_bytes=0, **limits
    ):
        """Let a crowd hold on; an ordinary request must be answered meanwhile.

        Parameters
        ----------
        pieces : callable
            Returns what a caller sends, piece by piece, given its number.
        callers : int
            Size of the crowd.
        address : callable, optional
            Returns the address that it goes to, given the world.
        reads : bool
            Whether its callers read what they are sent.
        reply_bytes : int
            Size of the answers below ``/large/``.
        """
        async with self.world(**limits) as world, trio.open_nursery() as nursery:
            target = address(world) if address else world.front.callers_address
            world.backends["prompt"].reply_bytes = reply_bytes
            crowd = Crowd(target, pieces, callers, reads=reads)
            nursery.start_soon(crowd.run)
            with trio.move_on_after(_SETTLE_TIMEOUT_S):
                await crowd.wait_until_settled()
            status = await world.ask("/prompt/ordinary")
            still_running = world.front.is_running
            nursery.cancel_scope.cancel()
            self.assertTrue(still_running, "the process has ended")
            self.assertEqual(status, 200, "an ordinary request beside the crowd")


class Crowd:
    """Callers that send pieces and then stay; a refused one comes back at once."""

    def __init__(self, address, pieces, callers, *, reads=True):
        self._address = address
        self._pieces = pieces
        self._callers = callers
        self._reads = reads
        self._staying = 0
        self._progress_at_s = trio.current_time()
        self._connecting = trio.CapacityLimiter(_CONNECTS_AT_ONCE)

    async def run(self):
        async with trio.open_nursery() as nursery:
            for number in range(self._callers):
                nursery.start_soon(self._return_and_stay, number)

    @property
    def has_settled(self):
        """Whether every caller stays or has given up."""
        return self._staying >= self._callers

    async def wait_until_settled(self):
        """Wait until every caller stays or has given up, or none gets any further."""
        while not self.has_settled:
            if trio.current_time() - self._progress_at_s > _NO_PROGRESS_S:
                return
            await trio.sleep(0.05)

    async def _return_and_stay(self, number):
        for _ in range(1 + _RETURNS):
            try:
                await self._stay_until_closed(number)
            except (OSError, trio.BrokenResourceError):
                continue
        self._staying += 1

    async def _stay_until_closed(self, number):
        async with self._connecting:
            stream = await _connect(self._address)
        try:
            if not self._reads:
                # Otherwise the kernel would take most of an answer.
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            for piece in self._pieces(number):
                await stream.send_all(piece)
                self._progress_at_s = trio.current_time()
            self._staying += 1
            try:
                if not self._reads:
                    await trio.sleep_forever()
                while await stream.receive_some(_READ_BYTES):
                    pass
            finally:
                self._staying -= 1
        finally:
            await trio.aclose_forcefully(stream)


async def _connect(address):
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


def head_of(method, path, lines=b""):
    """Return the head of a request without its last empty line."""
    start = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: c1\r\n"
    return start.encode() + lines


def _entry(backend):
    return {
        "service": backend.name,
        "addr": backend.address,
        "zone": "z0",
        "version": "v1",
        "slots": 1_000,
        "state": "ready",
        "warmupLeftMs": 0,
        "seq": 1,
    }


def _configuration():
    return {
        "version": 3,
        "routes": [
            _route("prompt", "prompt"),
            _route("large", "prompt"),
            _route("held", "slow"),
        ],
        "services": [{"name": name, "maxConns": 400} for name in ("prompt", "slow")],
        "limits": {
            "maxHeaderBytes": MAXIMUM_HEADER_BYTES,
            "maxBodyBytes": MAXIMUM_BODY_BYTES,
            "headerTimeoutMs": 120_000,
            "idleTimeoutMs": 120_000,
        },
    }


def _route(name, service):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": "idempotent",
        "timeoutMs": 120_000,
        "sloMs": 1_000,
        "attempts": 2,
        "priority": 1,
        "service": service,
    }
