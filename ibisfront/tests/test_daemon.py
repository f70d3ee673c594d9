"""Tests of the daemon as processes: rolling restarts under load."""

from __future__ import annotations

import signal
import unittest
from contextlib import asynccontextmanager

import msgspec
import trio

from ibisfront.testing.deployment import Deployment, ServiceShape, register_shape
from ibisfront.tests import trio_test_real_clock

POLL_S = 0.03
BALANCER_LAG_S = 0.3
GAP_S = 0.02
CALLERS = 6


class LaggingBalancer:
    """Sends to instances that ``/readyz`` reported ready some time ago."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.ready = []
        self.failures = []
        self.closes = 0
        self.sent = 0
        self._next = 0

    async def watch(self):
        """Poll the instances' readiness and apply it after the lag."""
        async with trio.open_nursery() as nursery:
            while True:
                ready = [
                    item
                    for item in self.deployment.instances
                    if await _ready(self.deployment, item)
                ]
                nursery.start_soon(self._apply, ready)
                await trio.sleep(POLL_S)

    async def send_searches(self, number):
        """Send searches one after the other, and record each that fails."""
        while True:
            self._next += 1
            instance = self.ready[self._next % len(self.ready)]
            try:
                reply = await self.deployment.search(
                    instance, "vestry", "name-check", {"caller": number}
                )
            except Exception as error:
                self.failures.append(f"{instance.name}: {error!r}")
            else:
                self.sent += 1
                self.closes += reply.headers.get("connection") == "close"
                if reply.status != 200:
                    self.failures.append(f"{instance.name}: {reply.body!r}")
            await trio.sleep(GAP_S)

    async def _apply(self, ready):
        await trio.sleep(BALANCER_LAG_S)
        self.ready = ready


async def _ready(deployment, instance):
    try:
        reply = await deployment.client.send("GET", instance.url("/readyz"))
    except Exception:
        return False
    return reply.status == 200


@asynccontextmanager
async def slow_deployment():
    """Run three instances with slow services."""
    shape = register_shape(services=2, instances=3)
    slow = ("--service-median-ms", "80", "--slots", "20")
    services = tuple(
        ServiceShape(item.name, item.servers, slow) for item in shape.services
    )
    shape = msgspec.structs.replace(shape, services=services, balancer_lag_ms=1_500)
    async with Deployment(shape) as deployment:
        yield deployment


class PlannedStopTest(unittest.TestCase):
    """A planned stop is a graceful shutdown."""

    @trio_test_real_clock
    async def test_rolling_restart_under_load_loses_no_request(self):
        """Guards against connections reset or refused during a restart.

        After SIGTERM the balancer keeps sending for its lag. If the listener
        and its idle connections close at the signal, without notice, each
        replaced instance loses requests.
        """
        async with slow_deployment() as deployment, trio.open_nursery() as nursery:
            balancer = LaggingBalancer(deployment)
            balancer.ready = list(deployment.instances)
            nursery.start_soon(balancer.watch)
            for number in range(CALLERS):
                nursery.start_soon(balancer.send_searches, number)
            exit_codes = []
            for old in list(deployment.instances):
                old.process.send(signal.SIGTERM)
                exit_codes.append(await old.process.wait())
                deployment.instances.remove(old)
                await deployment.start_instance(old.name)
            logs = [
                (deployment.folder / f"{item.name}.log").read_text()
                for item in deployment.instances
            ]
            nursery.cancel_scope.cancel()
        self.assertEqual(balancer.failures, [])
        self.assertEqual(exit_codes, [0, 0, 0])
        self.assertGreater(balancer.closes, 0)
        for log in logs:
            self.assertIn("stop: Requests aborted: 0.", log)
