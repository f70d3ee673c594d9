"""Tests of lost replicas, with real processes and connections."""

from __future__ import annotations

import unittest

import msgspec
import trio

from ibisfront.core.query import Answer
from ibisfront.testing.deployment import Deployment, register_shape
from ibisfront.tests import trio_test_real_clock

_GIVE_UP_S = 30.0
_WHOLE_IN_A_ROW = 10
_LOST = "register-00-0"
_SERVICES = ("register-00", "register-01")
_FOR_GOOD_MS = 600_000.0


class _RowOfService(msgspec.Struct):
    service: str


class LostReplicaTest(unittest.TestCase):
    """One of two servers of a service is lost in each of three ways."""

    @trio_test_real_clock
    async def test_lost_replica_costs_coverage_for_a_while_only(self) -> None:
        """Households stay missing for as long as one replica is lost.

        One of two servers crashes, freezes, or loses track of its open
        connections. Every second search went to it and waited there. Answers
        may lack the service until that is found out, and must say so; from
        then on they are whole again, though the server is still lost.
        """
        async with Deployment(register_shape(services=2, instances=1)) as deployment:
            await self._until_whole_again(deployment)
            await deployment.command_backend(_LOST, "silence")
            await self._until_whole_again(deployment)
            await deployment.command_backend(_LOST, "faults", frozen=True)
            await self._until_whole_again(deployment)
            await deployment.command_backend(
                _LOST, "faults", frozen=False, crash_down_ms=_FOR_GOOD_MS
            )
            await deployment.command_backend(_LOST, "crash")
            await self._until_whole_again(deployment)

    async def _until_whole_again(self, deployment: Deployment) -> None:
        whole = 0
        with trio.fail_after(_GIVE_UP_S):
            while whole < _WHOLE_IN_A_ROW:
                answer = await self._search(deployment)
                whole = whole + 1 if not answer.coverage.missing else 0

    async def _search(self, deployment: Deployment) -> Answer:
        """Search once and check that the coverage told is that of the rows."""
        reply = await deployment.search(
            deployment.instances[0], "vestry", "name-check", {"name": "a"}
        )
        self.assertEqual(reply.status, 200, reply.body)
        answer = msgspec.json.decode(reply.body, type=Answer)
        missing = {item.service for item in answer.coverage.missing}
        rows = [msgspec.json.decode(row, type=_RowOfService) for row in answer.results]
        self.assertEqual({row.service for row in rows}, set(_SERVICES) - missing)
        self.assertEqual(answer.coverage.answered, len(_SERVICES) - len(missing))
        return answer
