"""Tests of leaving backend servers, with real processes and streams."""

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

_GIVE_UP_S = 30.0
_POLL_S = 0.05
_REQUESTS = 10
_REGISTER_SERVER = "register-00-0"
_RANDOM_BITS = 74
_PRINT_SERVER = "print-queue-0"


class DrainTest(unittest.TestCase):
    """Three instances, and servers that begin to leave."""

    @trio_test_real_clock
    async def test_drained_servers_get_nothing_more_at_any_instance(self) -> None:
        """Each instance goes on sending to a server that has said it leaves.

        A print server and a register server begin to drain; the register of
        services still has them as live, and for the second one the platform
        is out. One instance is refused and tells the others over the streams;
        from then on neither server is sent anything, by any instance.
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
        with trio.fail_after(_GIVE_UP_S):
            while not await self._received(deployment, server):
                for instance in deployment.instances:
                    await send(deployment, instance)
            for instance in deployment.instances:
                await self._until_told(deployment, instance, server)
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
        """Return how much a server was sent while it drained."""
        states = {state.name: state for state in await deployment.backend_states()}
        counts = states[server].counts
        return counts.runs + counts.refused_draining

    async def _until_told(
        self, deployment: Deployment, instance: InstanceProcess, server: str
    ) -> None:
        log = deployment.folder / f"{instance.name}.log"
        while f"Server {server} drains." not in log.read_text():  # noqa: ASYNC110
            await trio.sleep(_POLL_S)
