"""End-to-end tests of an entry instance as a process."""

from __future__ import annotations

import unittest

import msgspec

from ibisfront.core.query import Answer
from ibisfront.testing.deployment import Deployment, register_shape
from ibisfront.tests import trio_test_real_clock


class WholePathTest(unittest.TestCase):
    """One search passes through separate processes and is answered in full."""

    @trio_test_real_clock
    async def test_search_is_answered_whole_from_every_service(self) -> None:
        async with Deployment(register_shape(services=3, instances=1)) as deployment:
            reply = await deployment.search(
                deployment.instances[0], "vestry", "name-check", {"name": "Jón"}
            )
        self.assertEqual(reply.status, 200, reply.body)
        answer = msgspec.json.decode(reply.body, type=Answer)
        self.assertEqual(answer.snapshot, "snapshot-1")
        self.assertEqual(answer.coverage.answered, 3)
        self.assertEqual(answer.coverage.total, 3)
        services = {
            msgspec.json.decode(row, type=_RowOfService).service
            for row in answer.results
        }
        self.assertEqual(services, {"register-00", "register-01", "register-02"})


class _RowOfService(msgspec.Struct):
    service: str
