"""Tests of refusals for lack of room at the gateway, in mock time."""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager

import trio

from ibisfront.core.counters import CounterKind
from ibisfront.gateway.load.service_room import ServiceRoom
from ibisfront.gateway.state.configuration import Workspace
from ibisfront.gateway.workspaces.keys import digest_key
from ibisfront.testing.gateway_fixture import (
    GatewayFixture,
    forward_route,
    gather_route,
)
from ibisfront.testing.two_zones import TwoZones
from ibisfront.tests import trio_test

KEY = b"k3y-of-the-desk"
KEY_HEADERS = ((b"X-Key", KEY),)


class Room:
    """The room of all services, set by a test."""

    def __init__(self, wait_ms=0.0, interval_ms=10.0):
        self.wait_ms = wait_ms
        self.interval_ms = interval_ms
        self.reads = 0

    def read(self, service, rank, work_ms, now_ms):
        self.reads += 1
        return ServiceRoom(self.wait_ms, self.interval_ms)


class ScarceRoom:
    """Ample room but for some services."""

    def __init__(self, rooms):
        self.rooms = rooms

    def read(self, service, rank, work_ms, now_ms):
        room = self.rooms.get(service, Room())
        return room.read(service, rank, work_ms, now_ms)


def set_room(gateway, room):
    """Make a gateway see this room; return its gate."""
    gate = gateway._gateway_context.admission
    gate._read_room = room.read
    return gate


def competing(fixture):
    """Return a fixture whose configuration has workspaces."""
    fixture.workspaces = (
        Workspace("desk", (digest_key(KEY),)),
        Workspace("guard", (digest_key(b"k3y-of-the-guard"),)),
    )
    return fixture


def retry_after_ms(reply):
    """Return the time to come back that a reply states."""
    return 1000.0 * float(dict(reply.headers)[b"Retry-After"])


def coordinated_zones():
    """Return zones whose instance in ``z0`` uses coordinators in ``z1`` and ``z2``."""
    return competing_zones(delegates=True)


def competing_zones(**changes):
    """Return zones whose configuration has workspaces, asked with a key."""
    zones = competing(TwoZones(gather_route(20, minimum=0.9), **changes))
    zones.headers.extend(KEY_HEADERS)
    return zones


class RefusalTest(unittest.TestCase):
    """Requests for which there is no room in time."""

    @trio_test
    async def test_refused_request_has_reached_no_server(self):
        """Guards against a 503 for a request that runs."""
        for route, path in (
            (forward_route(), "/fetch/a"),
            (gather_route(8), "/search/a"),
        ):
            fixture = competing(GatewayFixture(route))
            async with fixture.running() as gateway:
                set_room(gateway, Room(wait_ms=60_000.0))
                started_ms = fixture.clock.now_ms()
                reply = await fixture.send_request(path, headers=KEY_HEADERS)
                took_ms = fixture.clock.now_ms() - started_ms
                await trio.sleep(3.0)
            self.assertEqual((reply.status, reply.reason), (503, "no_room"))
            self.assertLessEqual(took_ms, 5.0)
            received = sum(len(item.received) for item in fixture.all_servers())
            self.assertEqual(received, 0)

    @trio_test
    async def test_query_that_needs_fewer_services_does_not_wait_for_a_scarce_one(self):
        """Guards against queries held behind others that need a scarce service."""
        strict = gather_route(10, minimum=1.0, objective_ms=600.0)
        lenient = gather_route(
            10, minimum=0.9, name="lenient", path_prefix="/lenient/", objective_ms=600.0
        )
        fixture = competing(GatewayFixture(strict, lenient))
        took_ms = {}

        async def ask(path):
            started_ms = fixture.clock.now_ms()
            reply = await fixture.send_request(path, headers=KEY_HEADERS)
            self.assertEqual(reply.status, 200)
            took_ms[path] = fixture.clock.now_ms() - started_ms

        async with fixture.running() as gateway:
            rooms = {"part-0": Room(wait_ms=200.0)}
            set_room(gateway, ScarceRoom(rooms))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask, "/search/a")
                await trio.sleep(0.01)
                nursery.start_soon(ask, "/lenient/a")
                await trio.sleep(0.2)
                rooms.clear()
        self.assertGreater(took_ms["/search/a"], 200.0)
        self.assertLess(took_ms["/lenient/a"], 50.0)

    @trio_test
    async def test_nothing_is_kept_where_nobody_competes(self):
        """Guards against a cost for each request where there is room."""
        fixture = competing(GatewayFixture(gather_route(8)))
        async with fixture.running() as gateway:
            gate = set_room(gateway, Room())
            replies = [
                await fixture.send_request(headers=KEY_HEADERS) for _ in range(20)
            ]
        self.assertEqual({reply.status for reply in replies}, {200})
        self.assertEqual((gate._groups, gate.waiting_by_rank()), ({}, {}))

    @trio_test
    async def test_coordinators_refusal_reaches_the_caller_with_its_time(self):
        """Guards against a 502, or a guessed time, when all coordinators are full."""
        zones = coordinated_zones()
        async with zones.running():
            for zone, wait_ms in (("z1", 5000.0), ("z2", 4000.0)):
                set_room(zones.gateways[zone], Room(wait_ms))
            reply = await zones.send_request("z0")
            self.assertEqual((reply.status, reply.reason), (503, "no_room"))
            self.assertAlmostEqual(retry_after_ms(reply), 4010.0, delta=20.0)
            self.assertEqual(zones.delegated, 2)
            self.assertEqual(zones.received, [])
            # Both have said that they are full: one is asked, for its place.
            again = await zones.send_request("z0")
            self.assertEqual((again.status, zones.delegated), (503, 3))

    @trio_test
    async def test_query_goes_to_a_coordinator_that_has_room(self):
        """Guards against a refusal while another coordinator has room."""
        zones = coordinated_zones()
        async with zones.running():
            set_room(zones.gateways["z1"], Room(wait_ms=60_000.0))
            replies = [await zones.send_request("z0") for _ in range(5)]
        self.assertEqual({reply.status for reply in replies}, {200})

    @trio_test
    async def test_room_at_a_coordinator_ends_the_refusals_at_once(self):
        """Guards against an entry instance that refuses after room is back."""
        zones = coordinated_zones()
        async with zones.running():
            room = Room(wait_ms=60_000.0)
            for zone in ("z1", "z2"):
                set_room(zones.gateways[zone], room)
            self.assertEqual((await zones.send_request("z0")).status, 503)
            room.wait_ms = 0.0
            await trio.sleep(0.05)
            self.assertEqual((await zones.send_request("z0")).status, 200)

    @trio_test
    async def test_coordinator_that_dies_with_waiting_work(self):
        """Guards against queries that are lost while they wait at a coordinator."""
        zones = coordinated_zones()
        async with zones.running():
            gates = {
                zone: set_room(zones.gateways[zone], Room(wait_ms=40.0))
                for zone in ("z1", "z2")
            }
            replies = []

            async def ask():
                replies.append(await zones.send_request("z0"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.02)
                holder = next(
                    zone for zone, gate in gates.items() if gate.waiting_by_rank()
                )
                for other in gates.keys() - {holder}:
                    set_room(zones.gateways[other], Room())
                gateway = zones.gateways["z0"]
                for peer in gateway._delegation._peers.servers():
                    if peer.entry.server_id == f"instance-{holder}":
                        peer.pool.retire()
        self.assertEqual(replies[0].status, 200)
        self.assertEqual(sum(gates[holder].waiting_by_rank().values()), 0)

    @trio_test
    async def test_parts_of_a_query_that_runs_already_do_not_wait(self):
        """Guards against queries whose first parts run while the others wait."""
        zones = competing_zones()
        async with zones.running():
            gate = set_room(zones.gateways["z1"], Room(wait_ms=100.0))
            reply = await zones.send_request("z0")
        self.assertEqual(reply.status, 200)
        self.assertEqual(gate.waiting_by_rank(), {})


class NoWorkspacesTest(unittest.TestCase):
    """A configuration without workspaces, whose callers do not compete."""

    @trio_test
    async def test_nobody_is_held_where_no_workspaces_compete(self):
        """Guards against waits and refusals where the servers' windows serve more."""
        for route, path in (
            (forward_route(), "/fetch/a"),
            (gather_route(8), "/search/a"),
        ):
            fixture = GatewayFixture(route)
            async with fixture.running() as gateway:
                room = Room(wait_ms=60_000.0)
                gate = set_room(gateway, room)
                reply = await fixture.send_request(path)
            self.assertEqual(reply.status, 200, reply.reason)
            self.assertEqual((room.reads, gate._groups), (0, {}))
            counted = {item.kind for item in fixture.observer.counters.values()}
            self.assertNotIn(CounterKind.ADMISSIONS, counted)

    @trio_test
    async def test_what_waits_goes_on_when_a_version_has_no_workspaces(self):
        """Guards against requests that wait on after admission has ended."""
        async with waiting_request(forward_route(), "/fetch/a") as (fixture, replies):
            fixture.workspaces = ()
            fixture.apply_configuration(2)
            await trio.sleep(0.1)
        self.assertEqual([reply.status for reply in replies], [200])


class ChangeWhileWaitingTest(unittest.TestCase):
    """Keys and workspaces that change while a request waits for room."""

    @trio_test
    async def test_key_revoked_during_the_wait_is_refused(self):
        """Guards against requests that run under a key that was taken away."""
        for route, path in (
            (forward_route(objective_ms=600.0), "/fetch/a"),
            (gather_route(8, objective_ms=600.0), "/search/a"),
        ):
            async with waiting_request(route, path) as (fixture, replies):
                fixture.workspaces = fixture.workspaces[1:]
                fixture.apply_configuration(2)
                set_room(fixture.gateway, Room())
                await trio.sleep(0.5)
            self.assertEqual(
                [(reply.status, reply.reason) for reply in replies],
                [(401, "unknown_key")],
            )
            received = sum(len(item.received) for item in fixture.all_servers())
            self.assertEqual(received, 0)

    @trio_test
    async def test_workspace_removed_while_a_query_waits_at_a_coordinator(self):
        """Guards against queries that run for a workspace that was removed."""
        zones = coordinated_zones()
        async with zones.running():
            gates = [
                set_room(zones.gateways[zone], Room(wait_ms=40.0))
                for zone in ("z1", "z2")
            ]
            replies = []

            async def ask():
                replies.append(await zones.send_request("z0"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.02)
                waiting = sum(sum(gate.waiting_by_rank().values()) for gate in gates)
                self.assertEqual(waiting, 1)
                zones.workspaces = zones.workspaces[1:]
                for zone in ("z1", "z2"):
                    zones.apply_configuration(2, zones._route, only=zone)
                    set_room(zones.gateways[zone], Room())
        self.assertEqual([reply.status for reply in replies], [503])
        self.assertEqual(zones.received, [])


@asynccontextmanager
async def waiting_request(route, path):
    """Run a gateway at which one request waits for room."""
    fixture = competing(GatewayFixture(route))
    replies = []

    async def ask():
        replies.append(await fixture.send_request(path, headers=KEY_HEADERS))

    async with fixture.running() as gateway, trio.open_nursery() as nursery:
        gate = set_room(gateway, Room(wait_ms=100.0))
        nursery.start_soon(ask)
        await trio.sleep(0.02)
        assert sum(gate.waiting_by_rank().values()) == 1
        yield fixture, replies
