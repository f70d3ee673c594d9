"""Tests of the state shared by instances, with real processes and streams."""

from __future__ import annotations

import signal
import unittest

import msgspec
import trio

from ibisfront.core.status import TierStatus
from ibisfront.core.table import TABLE_NAME
from ibisfront.testing.deployment import (
    Deployment,
    InstanceProcess,
    register_shape,
)
from ibisfront.tests import trio_test_real_clock

_TIMEOUT_S = 30.0
_POLL_S = 0.05


async def _status(deployment: Deployment, instance: InstanceProcess) -> TierStatus:
    reply = await deployment.admin(instance, "GET", "/v1/admin/status")
    return reply.decode(TierStatus)


async def _wait_until_all_at(deployment: Deployment, version: int, count: int) -> None:
    with trio.fail_after(_TIMEOUT_S):
        while True:
            report = await _status(deployment, deployment.instances[0])
            versions = [reply.table_version for reply in report.instances]
            if versions == [version] * count:
                return
            await trio.sleep(_POLL_S)


async def _edit(deployment: Deployment, weight: float) -> None:
    table = deployment.shape.table
    row = msgspec.structs.replace(table.rows[0], weight=weight)
    wanted = msgspec.structs.replace(table, rows=(row, *table.rows[1:]))
    await deployment.put_object("table", TABLE_NAME, wanted)


class SharedProcessesTest(unittest.TestCase):
    """Three instances, their streams and a fake platform."""

    @trio_test_real_clock
    async def test_edit_restart_in_an_outage_and_pause(self) -> None:
        """A killed and a paused instance get the newest table.

        The first is restarted without state while the platform is unavailable and
        must fetch the edited table from its peers. The second is paused until the
        others declare it unreachable, and resumes with an outdated table.
        """
        shape = register_shape(services=1, instances=3)
        async with Deployment(shape) as deployment:
            first, second, third = deployment.instances
            before = (await _status(deployment, first)).instances[0].table_version
            await _edit(deployment, 7.0)
            version = await self._wait_for_newer(deployment, before)
            await _wait_until_all_at(deployment, version, 3)
            await deployment.set_platform_faults(outage="refuse")
            second.process.send(signal.SIGKILL)
            await second.process.wait()
            deployment.instances.remove(second)
            await deployment.start_instance(second.name, predecessor=second)
            await _wait_until_all_at(deployment, version, 3)
            third.process.send(signal.SIGSTOP)
            await self._wait_until_unreachable(deployment, third.name)
            await deployment.set_platform_faults(outage="none")
            await _edit(deployment, 9.0)
            newest = await self._wait_for_newer(deployment, version)
            third.process.send(signal.SIGCONT)
            await _wait_until_all_at(deployment, newest, 3)
        self.assertGreater(newest, version)

    async def _wait_for_newer(self, deployment: Deployment, version: int) -> int:
        with trio.fail_after(_TIMEOUT_S):
            while True:
                report = await _status(deployment, deployment.instances[0])
                found = next(
                    reply.table_version
                    for reply in report.instances
                    if reply.name == deployment.instances[0].name
                )
                if found > version:
                    return found
                await trio.sleep(_POLL_S)

    async def _wait_until_unreachable(self, deployment: Deployment, name: str) -> None:
        with trio.fail_after(_TIMEOUT_S):
            while True:
                report = await _status(deployment, deployment.instances[0])
                if name in report.unreachable:
                    return
                await trio.sleep(_POLL_S)
