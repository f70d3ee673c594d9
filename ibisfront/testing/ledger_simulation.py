"""Simulation of entry instances' ledgers in one process, under faults.

The claim, send and recovery code is the real one; the platform, the backend
servers, the peers and the callers are fakes under trio's mock clock. A killed
instance has no further effect, except that its calls in progress may still
complete. A paused one has none until it is resumed.
"""

from __future__ import annotations

import functools
import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeVar

import msgspec
import trio

from ibisfront.core.catalogue import Catalogue
from ibisfront.core.clock import Clock
from ibisfront.core.counters import Counters
from ibisfront.core.coverage import MissingReason
from ibisfront.core.errors import ErrorKind, IbisfrontError, Ran
from ibisfront.core.idempotency_key import make_key, parse_key
from ibisfront.core.ledger import Ledger
from ibisfront.core.ledger_bucket import bucket_name
from ibisfront.core.objects import (
    ObjectKind,
    ObjectStore,
    VersionedObject,
    WriteConflict,
)
from ibisfront.core.perform_sender import PerformSender
from ibisfront.core.query import CallerRequest, SubReply, SubRequestError
from ibisfront.core.service import BackendServer, Service
from ibisfront.core.table import Purpose
from ibisfront.testing.backend_state import FakeBackend
from ibisfront.testing.backend_types import (
    BackendReply,
    BackendSettings,
    ConnectionLost,
    WorkRequest,
)
from ibisfront.testing.peers import PeerNetwork
from ibisfront.testing.platform_state import FakePlatform
from ibisfront.testing.platform_types import AnswerLost, PlatformRefused

if TYPE_CHECKING:
    from ibisfront.core.backend_connection import Work
    from ibisfront.core.query import SubRequest
    from ibisfront.core.types import Address, JsonBytes, Version

__all__ = ["CopyAnswer", "LedgerNode", "LedgerSimulation", "first_bucket_key"]

WALL_START_MS = 1_764_700_000_000
PURPOSE = Purpose("print-envelopes", "perform", service="print-queue")

_SERVICE = "print-queue"
_DELAYS_MS = (0.0, 0.5, 1.0, 3.0, 10.0, 60.0, 400.0)
_DELAY_WEIGHTS = (4, 8, 8, 6, 4, 2, 1)
_CALL_TIMEOUT_MS = 2_000.0

_Returned = TypeVar("_Returned")


class CopyAnswer(msgspec.Struct):
    """One copy of a request, and the answer to its caller.

    Attributes
    ----------
    copy : str
        Its request id.
    key : str
        Its key.
    ran : Ran or None
        The reported ``ran``; None if there was no answer.
    code : str
        The error's code; empty if there was none.
    result : str
        The answer's result.
    """

    copy: str
    key: str
    ran: Ran | None = None
    code: str = ""
    result: str = ""


class LedgerNode:
    """One process of an entry instance.

    Parameters
    ----------
    name : str
        The instance.
    simulation : LedgerWorld
        The simulation that it belongs to.

    Attributes
    ----------
    skew_ms : float
        How far its wall clock is ahead.
    is_dead : bool
        Whether it was killed.
    is_cut_off : bool
        Whether it is partitioned from the platform.
    """

    def __init__(self, name: str, simulation: LedgerSimulation) -> None:
        self.name = name
        self.simulation = simulation
        self.skew_ms = 0.0
        self.is_dead = False
        self.is_cut_off = False
        self.clock = Clock(wall=self._wall_ms)
        self.counters = Counters()
        self._scope = trio.CancelScope()
        self._resumed = trio.Event()
        self._resumed.set()
        self.ledger = self._make_ledger()
        self._peers = simulation.network.join(name)
        self.ledger.use_peers(self._peers)

    async def run(self) -> None:
        """Run the ledger until the process is killed."""
        with self._scope:
            await self.ledger.run(self)

    def kill(self) -> None:
        """End the process: it has no further effect."""
        self.is_dead = True
        self.simulation.network.leave(self.name)
        self._resumed.set()
        self._scope.cancel()

    def pause(self) -> None:
        """Pause the process, without notice to its peers."""
        if self._resumed.is_set() and not self.is_dead:
            self._resumed = trio.Event()
            self.simulation.network.leave(self.name)

    def resume(self) -> None:
        """Resume the process."""
        if not self._resumed.is_set() and not self.is_dead:
            self._resumed.set()
            self.simulation.network.peers[self.name] = self._peers

    async def get(self, kind: ObjectKind, name: str) -> VersionedObject | None:
        """Return an object of the platform."""

        async def call() -> VersionedObject | None:
            try:
                found = await self.simulation.platform.get(kind, name)
            except PlatformRefused:
                return None
            value_json = msgspec.json.encode(found.value)
            return VersionedObject(kind, name, found.version, value_json)

        return await self._call(call, ErrorKind.PLATFORM_UNAVAILABLE)

    async def put(
        self,
        kind: ObjectKind,
        name: str,
        value_json: JsonBytes,
        *,
        if_version: Version | None,
    ) -> Version:
        """Write an object of the platform conditionally."""
        value = msgspec.json.decode(value_json)

        async def call() -> int:
            return await self.simulation.platform.put(
                kind, name, value, if_version=if_version
            )

        try:
            return await self._call(call, ErrorKind.WRITE_UNKNOWN)
        except PlatformRefused as refused:
            raise WriteConflict(name) from refused

    async def open_connection(self, address: Address) -> FakeConnection:
        """Connect to a backend server."""
        await self.clock.sleep_ms(self.simulation.connect_ms)
        await self.step()
        if (
            self.simulation.random.random()
            < self.simulation.refused_connections_fraction
        ):
            raise SubRequestError(MissingReason.CONNECT_FAILED, not_run=True)
        return FakeConnection(self, self.simulation.backends[address])

    async def step(self) -> None:
        """Wait for a random time, then while paused; for ever once dead."""
        await self.clock.sleep_ms(self.simulation.delay_ms())
        await self.wait_alive()

    async def wait_alive(self) -> None:
        """Wait while the process is paused; for ever once it is dead."""
        await self._resumed.wait()
        if self.is_dead:
            await trio.sleep_forever()

    def _wall_ms(self) -> float:
        return (
            WALL_START_MS
            + self.clock.now_ms()
            - self.simulation.start_ms
            + self.skew_ms
        )

    def _make_ledger(self) -> Ledger:
        sender = PerformSender(
            catalogue=self.simulation.catalogue,
            open_connection=self.open_connection,
            clock=self.clock,
            counters=self.counters,
            zone="z1",
            maximum_connections=4,
        )
        return Ledger(
            instance=self.name,
            send_once=sender.send,
            clock=self.clock,
            counters=self.counters,
            process=self.simulation.next_process_name(),
        )

    async def _call(
        self, call: Callable[[], Awaitable[_Returned]], lost: ErrorKind
    ) -> _Returned:
        """Make one call to the platform, with a timeout."""
        await self.step()
        try:
            with self.clock.timeout_ms(_CALL_TIMEOUT_MS):
                if self.is_cut_off:
                    await trio.sleep_forever()
                returned = await self.simulation.run_detached(call)
                await self.step()
                return returned
        except AnswerLost:
            # Raised below, after one more step, as a timeout is.
            detail = "the response was lost"
        else:
            detail = "no response arrived in time"
        await self.step()
        raise IbisfrontError(lost, detail)


class FakeConnection:
    """A connection of a node to a fake backend server."""

    def __init__(self, node: LedgerNode, backend: FakeBackend) -> None:
        self._node = node
        self._backend = backend

    async def exchange(self, work: Work, sub_request: SubRequest) -> SubReply:
        """Send a sub-request; see ``BackendConnection``."""
        node = self._node
        request = WorkRequest(
            service=sub_request.service,
            request=msgspec.json.decode(sub_request.body_json),
            request_id=sub_request.sub_request_id,
            deadline_ms=sub_request.deadline_at_ms - node.clock.now_ms(),
        )
        await node.step()  # the process may be paused right before the first byte

        async def call() -> BackendReply:
            await node.clock.sleep_ms(node.simulation.delay_ms())
            return await self._backend.perform(request)

        try:
            reply = await node.simulation.run_detached(call)
        except ConnectionLost as error:
            await node.step()
            raise SubRequestError(
                MissingReason.CONNECTION_LOST, not_run=False
            ) from error
        await node.step()
        return _sub_reply(reply)

    async def probe(self) -> bool:
        """Return whether the server answers."""
        return True

    def is_usable(self) -> bool:
        """Return whether another exchange may start."""
        return True

    async def aclose(self) -> None:
        """Close the connection."""


class LedgerSimulation:
    """A simulated platform, backend servers, peers and entry instances.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs all tasks.
    seed : int
        Seed of all random delays and faults.
    instances : int
        How many entry instances run.
    """

    def __init__(self, nursery: trio.Nursery, *, seed: int, instances: int = 3) -> None:
        self.nursery = nursery
        self.random = random.Random(seed)
        self.clock = Clock()
        self.start_ms = self.clock.now_ms()
        self.platform = FakePlatform(clock=self.clock, seed=seed)
        self.network = PeerNetwork(clock=self.clock, nursery=nursery)
        self.refused_connections_fraction = 0.0
        self.connect_ms = 0.0
        self.backends = {
            f"127.0.0.1:{port}": FakeBackend(
                _SERVICE,
                f"server-{port}",
                settings=BackendSettings(seed=seed),
                clock=self.clock,
            )
            for port in (1, 2)
        }
        self.catalogue = _catalogue_of(self.backends)
        self.copies: list[CopyAnswer] = []
        self._scopes: dict[str, trio.CancelScope] = {}
        self._processes = 0
        self.nodes = [self._start(f"i{number + 1}") for number in range(instances)]

    def delay_ms(self) -> float:
        """Return how long the next step takes."""
        return self.random.choices(_DELAYS_MS, _DELAY_WEIGHTS)[0]

    def next_process_name(self) -> str:
        """Return an unused process name."""
        self._processes += 1
        return f"process-{self._processes}"

    def restart(self, number: int) -> None:
        """Kill an instance and start a new process of the same name."""
        old = self.nodes[number]
        old.kill()
        node = self._start(old.name)
        node.skew_ms = old.skew_ms
        node.is_cut_off = old.is_cut_off
        self.nodes[number] = node

    def send_copy(
        self, number: int, key: str, *, deadline_ms: float, body: object = None
    ) -> CopyAnswer:
        """Send one copy of a request to an instance, as a caller."""
        copy = CopyAnswer(f"copy-{len(self.copies)}", key)
        self.copies.append(copy)
        request = CallerRequest(
            request_id=copy.copy,
            branch="vestry",
            purpose=PURPOSE.name,
            body_json=msgspec.json.encode(body or {"key": key}),
            deadline_at_ms=self.clock.now_ms() + deadline_ms,
        )
        self.nursery.start_soon(self._perform, self.nodes[number], request, copy)
        return copy

    def disconnect(self, copy: CopyAnswer) -> None:
        """Disconnect the caller of a copy."""
        scope = self._scopes.get(copy.copy)
        if scope is not None:
            scope.cancel()

    async def run_detached(self, call: Callable[[], Awaitable[_Returned]]) -> _Returned:
        """Make a call that completes even if its caller is killed meanwhile."""
        done = trio.Event()
        returned: list[_Returned] = []
        failed: list[Exception] = []

        async def run() -> None:
            try:
                returned.append(await call())
            except (AnswerLost, PlatformRefused, ConnectionLost) as error:
                failed.append(error)
            done.set()

        self.nursery.start_soon(run)
        await done.wait()
        if failed:
            raise failed[0]
        return returned[0]

    def runs_of_key(self, key: str) -> int:
        """Return how often a key ran, at all backend servers."""
        return sum(
            run.request.get("key") == key
            for backend in self.backends.values()
            for run in backend.runs.performed
        )

    def runs_of_copy(self, copy: CopyAnswer) -> int:
        """Return how often a copy ran, at all backend servers."""
        return sum(
            run.request_id.startswith(copy.copy + ".")
            for backend in self.backends.values()
            for run in backend.runs.performed
        )

    def _start(self, name: str) -> LedgerNode:
        node = LedgerNode(name, self)
        self.nursery.start_soon(node.run)
        return node

    async def _perform(
        self, node: LedgerNode, request: CallerRequest, copy: CopyAnswer
    ) -> None:
        scope = self._scopes[copy.copy] = trio.CancelScope()
        with scope:
            await node.wait_alive()
            try:
                answer = await node.ledger.perform(request, PURPOSE, copy.key)
            except IbisfrontError as error:
                await node.wait_alive()
                copy.ran, copy.code = error.ran, error.kind.value
                return
            await node.wait_alive()
            copy.ran, copy.result = Ran.YES, bytes(answer.result_json).decode()


@functools.cache
def first_bucket_key(number: int, *, wall_ms: float) -> str:
    """Return a key that belongs to the first bucket of its slot."""
    random_bits = random.Random(number)
    while True:
        key = make_key(wall_ms=wall_ms, random_bits=random_bits.getrandbits(74))
        if bucket_name(parse_key(key)).endswith("-00"):
            return key


def _catalogue_of(backends: dict[str, FakeBackend]) -> Catalogue:
    servers = tuple(
        BackendServer(backend.name, address, "z1")
        for address, backend in backends.items()
    )
    value_json = msgspec.json.encode(Service(servers))
    store = ObjectStore()
    catalogue = Catalogue(store)
    store.merge([VersionedObject(ObjectKind.SERVICE, _SERVICE, 1, value_json)])
    return catalogue


def _sub_reply(reply: BackendReply) -> SubReply:
    if reply.status == 200:
        return SubReply(msgspec.json.encode(reply.body))
    if reply.not_run is not None:
        raise SubRequestError(MissingReason(reply.not_run.value), not_run=True)
    reasons = {400: MissingReason.REFUSED, 504: MissingReason.TIMED_OUT}
    reason = reasons.get(reply.status, MissingReason.SERVER_ERROR)
    raise SubRequestError(reason, not_run=reply.status == 400, ran=reply.status == 500)
