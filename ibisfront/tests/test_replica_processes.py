"""Tests of replica failures with real processes and connections."""

from __future__ import annotations

import unittest

import msgspec
import trio

from ibisfront.core.query import Answer
from ibisfront.testing.deployment import Deployment, register_shape
from ibisfront.tests import trio_test_real_clock

_TIMEOUT_S = 30.0
_CONSECUTIVE_COMPLETE_ANSWERS = 10
_LOST_SERVER = "register-00-0"
_SERVICES = ("register-00", "register-01")
_PERMANENT_MS = 600_000.0


class _ServiceRow(msgspec.Struct):
    service: str


class LostReplicaTest(unittest.TestCase):
    """One of two servers of a service fails in three different ways."""

    @trio_test_real_clock
    async def test_lost_replica_reduces_coverage_only_temporarily(self) -> None:
        """Guards against partial answers for as long as one replica is down.

        One of two servers drops the state of its open connections, freezes or
        crashes. Without failure detection every second search is sent to it
        and waits. Until the failure is detected, answers may lack the service
        and must report it; afterwards they are complete again, although the
        server is still down.
        """
        async with Deployment(register_shape(services=2, instances=1)) as deployment:
            await self._wait_for_complete_answers(deployment)
            await deployment.command_backend(_LOST_SERVER, "silence")
            await self._wait_for_complete_answers(deployment)
            await deployment.command_backend(_LOST_SERVER, "faults", frozen=True)
            await self._wait_for_complete_answers(deployment)
            await deployment.command_backend(
                _LOST_SERVER, "faults", frozen=False, crash_down_ms=_PERMANENT_MS
            )
            await deployment.command_backend(_LOST_SERVER, "crash")
            await self._wait_for_complete_answers(deployment)

    async def _wait_for_complete_answers(self, deployment: Deployment) -> None:
        consecutive = 0
        with trio.fail_after(_TIMEOUT_S):
            while consecutive < _CONSECUTIVE_COMPLETE_ANSWERS:
                answer = await self._search(deployment)
                consecutive = consecutive + 1 if not answer.coverage.missing else 0

    async def _search(self, deployment: Deployment) -> Answer:
        """Search once and check that the reported coverage matches the rows."""
        reply = await deployment.search(
            deployment.instances[0], "vestry", "name-check", {"name": "a"}
        )
        self.assertEqual(reply.status, 200, reply.body)
        answer = msgspec.json.decode(reply.body, type=Answer)
        missing = {item.service for item in answer.coverage.missing}
        rows = [msgspec.json.decode(row, type=_ServiceRow) for row in answer.results]
        self.assertEqual({row.service for row in rows}, set(_SERVICES) - missing)
        self.assertEqual(answer.coverage.answered, len(_SERVICES) - len(missing))
        return answer
