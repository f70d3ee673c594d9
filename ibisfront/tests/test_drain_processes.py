"""Tests of draining backend servers, with real processes and streams."""

from __future__ import annotations

import secrets
import time
import unittest
from collections.abc import Awaitable, Callable

import msgspec
import trio

from ibisfront.core.idempotency_key import make_key
from ibisfront.core.query import Answer
from ibisfront.testing.deployment import (
    Deployment,
    InstanceProcess,
    register_shape,
)
from ibisfront.tests import trio_test_real_clock

_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.05
_REQUESTS = 10
_REGISTER_SERVER = "register-00-0"
_RANDOM_BITS = 74
_PRINT_SERVER = "print-queue-0"


class DrainTest(unittest.TestCase):
    """Servers start draining while three instances send requests."""

    @trio_test_real_clock
    async def test_draining_servers_get_no_requests_from_any_instance(self) -> None:
        """Instances keep sending requests to a server that reported draining.

        A print server and a register server start draining while they are
        still registered as live; for the second one the platform is also down.
        One instance is refused and notifies the others over the peer streams;
        from then on no instance may send anything to that server.
        """
        async with Deployment(register_shape(services=1)) as deployment:
            await self._drain(deployment, _PRINT_SERVER, self._perform)
            await deployment.set_platform_faults(outage="refuse")
            await self._drain(deployment, _REGISTER_SERVER, self._search)

    async def _drain(
        self,
        deployment: Deployment,
        server: str,
        send: Callable[[Deployment, InstanceProcess], Awaitable[None]],
    ) -> None:
        await deployment.command_backend(server, "faults", draining=True)
        with trio.fail_after(_TIMEOUT_S):
            while not await self._received(deployment, server):
                for instance in deployment.instances:
                    await send(deployment, instance)
            for instance in deployment.instances:
                await self._wait_until_notified(deployment, instance, server)
        before = await self._received(deployment, server)
        for instance in deployment.instances:
            for _ in range(_REQUESTS):
                await send(deployment, instance)
        self.assertEqual(await self._received(deployment, server), before)

    async def _search(self, deployment: Deployment, instance: InstanceProcess) -> None:
        reply = await deployment.search(instance, "vestry", "name-check", {"name": "a"})
        self.assertEqual(reply.status, 200, reply.body)
        answer = msgspec.json.decode(reply.body, type=Answer)
        self.assertEqual(answer.coverage.answered, 1)

    async def _perform(self, deployment: Deployment, instance: InstanceProcess) -> None:
        random_bits = secrets.randbits(_RANDOM_BITS)
        key = make_key(wall_ms=time.time() * 1_000.0, random_bits=random_bits)
        reply = await deployment.perform(
            instance, "vestry", "print-envelopes", {"key": key}, key=key
        )
        self.assertEqual(reply.status, 200, reply.body)

    async def _received(self, deployment: Deployment, server: str) -> int:
        """Return how many requests a server has received, including refused ones."""
        states = {state.name: state for state in await deployment.backend_states()}
        counts = states[server].counts
        return counts.runs + counts.refused_draining

    async def _wait_until_notified(
        self, deployment: Deployment, instance: InstanceProcess, server: str
    ) -> None:
        log = deployment.folder / f"{instance.name}.log"
        while f"Server {server} drains." not in log.read_text():  # noqa: ASYNC110
            await trio.sleep(_POLL_INTERVAL_S)
