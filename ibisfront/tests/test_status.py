"""Tests of collecting the status of all instances."""

from __future__ import annotations

import unittest

import msgspec
import trio

from ibisfront.core.clock import Clock
from ibisfront.core.members import Member, Members, MemberState
from ibisfront.core.status import (
    InstanceStatus,
    StatusReply,
    StatusRequest,
    collect_status,
)
from ibisfront.testing.peers import PeerNetwork
from ibisfront.tests import trio_test


def _status(name: str, version: int) -> InstanceStatus:
    return InstanceStatus(name, "z1", version, version, 3, ready=True)


class CollectStatusTest(unittest.TestCase):
    """The report lists the status of reachable instances and the unreachable ones."""

    @trio_test
    async def test_unreachable_instances_are_listed(self) -> None:
        """An edit is accepted while one instance is partitioned.

        If the report omitted it, operators would assume that the new table is
        in force everywhere, while that instance still uses the old one.
        """
        clock = Clock()
        async with trio.open_nursery() as nursery:
            network = PeerNetwork(clock=clock, nursery=nursery)
            peers = [network.join(f"i{number}") for number in range(4)]
            members = Members(Member("i0", "z1", "p0", "a0", 1))
            for number in range(1, 4):
                peers[number].respond(
                    StatusRequest,
                    lambda requester, request, number=number: StatusReply(
                        _status(f"i{number}", 7)
                    ),
                )
                members.merge(Member(f"i{number}", "z1", "p", "a", 1))
            dead = msgspec.structs.replace(members.get("i3"), state=MemberState.DEAD)
            members.merge(dead)
            network.partition("i0", "i2")
            network.partition("i0", "i3")
            report = await collect_status(
                members=members, peers=peers[0], own=lambda: _status("i0", 9)
            )
            nursery.cancel_scope.cancel()
        versions = [(status.name, status.table_version) for status in report.instances]
        self.assertEqual(versions, [("i0", 9), ("i1", 7)])
        self.assertEqual(report.unreachable, ("i2", "i3"))
