"""Tests of at-most-once with real processes; envelopes are counted."""

from __future__ import annotations

import secrets
import time
import unittest

import msgspec

from ibisfront.core.idempotency_key import make_key
from ibisfront.core.query import PerformAnswer
from ibisfront.testing.backend_types import PerformRun
from ibisfront.testing.deployment import Deployment, register_shape
from ibisfront.tests import trio_test_real_clock


class _Runs(msgspec.Struct):
    performed: list[PerformRun]


def new_key() -> str:
    """Return a key of now."""
    return make_key(wall_ms=time.time() * 1000.0, random_bits=secrets.randbits(74))


async def printed(deployment: Deployment) -> list[PerformRun]:
    """Return every run at the print queue's servers."""
    control = deployment.backend_controls["print-queue"]
    runs: list[PerformRun] = []
    for server in deployment.backend_servers["print-queue"]:
        url = f"http://{control}/control/servers/{server.name}/runs"
        reply = await deployment.client.send("GET", url)
        runs += reply.decode(_Runs).performed
    return runs


class WholePathTest(unittest.TestCase):
    """One non-idempotent request, from end to end."""

    @trio_test_real_clock
    async def test_copies_at_two_instances_print_one_envelope(self):
        async with Deployment(register_shape(services=1, instances=2)) as deployment:
            key = new_key()
            replies = [
                await deployment.perform(
                    instance, "vestry", "print-envelopes", {"n": 1}, key=key
                )
                for instance in deployment.instances
            ]
            runs = await printed(deployment)
            reused = await deployment.perform(
                deployment.instances[1], "vestry", "print-envelopes", {"n": 2}, key=key
            )
            told = await deployment.client.send(
                "GET", deployment.instances[0].url(f"/v1/requests/{key}")
            )
        for reply in replies:
            self.assertEqual(reply.status, 200, reply.body)
        answers = [reply.decode(PerformAnswer) for reply in replies]
        self.assertEqual([item.repeated for item in answers], [False, True])
        self.assertEqual(answers[0].result_json, answers[1].result_json)
        self.assertEqual([run.request for run in runs], [{"n": 1}])
        self.assertEqual(reused.status, 422)
        self.assertEqual(told.decode(PerformAnswer).result_json, answers[0].result_json)
