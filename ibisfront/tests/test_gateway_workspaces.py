"""Tests of workspaces and keys at a gateway, in mock time."""

from __future__ import annotations

import random
import unittest
from itertools import islice

import msgspec
import trio

from ibisfront.core.counters import CounterKind
from ibisfront.gateway.load.crash_suspects import fingerprint_of
from ibisfront.gateway.quotas.quota import QuotaRefusal
from ibisfront.gateway.state.configuration import Workspace
from ibisfront.gateway.workspaces.directory import WorkspaceDirectory
from ibisfront.gateway.workspaces.keys import digest_key
from ibisfront.testing.gateway_fixture import (
    GatewayFixture,
    forward_route,
    gather_route,
)
from ibisfront.testing.two_zones import TwoZones
from ibisfront.tests import trio_test

KEY = b"k3y-of-the-desk"
OTHER_KEY = b"k3y-of-the-guard"


def workspace(name="desk", *keys, **changes):
    """Return a workspace with these keys."""
    digests = tuple(digest_key(key) for key in keys or (KEY,))
    return Workspace(name, digests, **changes)


def key_header(key=KEY):
    """Return the header with a key."""
    return (b"X-Key", key)


def fixture_of(*routes, workspaces=(), **changes):
    """Return a gateway with workspaces."""
    fixture = GatewayFixture(*routes or (forward_route(),), **changes)
    fixture.workspaces = tuple(workspaces) or (
        workspace(),
        workspace("guard", OTHER_KEY),
    )
    return fixture


def payloads_of(fixture):
    """Return all requests that servers have received."""
    return [item for server in fixture.all_servers() for item in server.payloads]


class ForwardedHeadersTest(unittest.TestCase):
    """What a server gets of a caller's key and workspace."""

    async def _sent(self, fixture, path, *headers):
        async with fixture.running():
            reply = await fixture.send_request(path, headers=headers)
            await trio.sleep(0.5)
        self.assertEqual(reply.status, 200, reply.reason)
        return payloads_of(fixture)

    @trio_test
    async def test_key_reaches_no_server(self):
        """Guards against servers that learn the keys of callers."""
        for name in (b"X-Key", b"x-key", b"X-KEY"):
            with self.subTest(name):
                fixture = fixture_of()
                for payload in await self._sent(fixture, "/fetch/a", (name, KEY)):
                    self.assertNotIn(KEY, payload)
                    self.assertIn(b"\r\nX-Tenant-Id: desk\r\n", payload)

    @trio_test
    async def test_caller_that_names_another_workspace_is_served_under_its_own(self):
        """Guards against a caller that reads data of another workspace."""
        headers = (
            (b"X-Tenant-Id", b"guard"),
            (b"x-tenant-id", b"guard"),
            key_header(),
            (b"X-Ibisfront-Workspace", b"guard"),
        )
        for payload in await self._sent(fixture_of(), "/fetch/a", *headers):
            self.assertIn(b"\r\nX-Tenant-Id: desk\r\n", payload)
            self.assertEqual(payload.lower().count(b"x-tenant-id"), 1)

    @trio_test
    async def test_hedges_and_retries_carry_the_workspace(self):
        """Guards against extra attempts that lose the workspace or carry the key."""
        for latency_ms, status in ((400.0, 200), (10.0, 500)):
            fixture = fixture_of(gather_route(30))
            for index, server in enumerate(fixture.all_servers()):
                if index % 2:
                    server.latency_ms, server.status = latency_ms, status
            sent = await self._sent(fixture, "/search/a", key_header())
            with self.subTest(status=status):
                self.assertGreater(len(sent), 30)
                for payload in sent:
                    self.assertIn(b"\r\nX-Tenant-Id: desk\r\n", payload)
                    self.assertNotIn(KEY, payload)

    @trio_test
    async def test_public_route_is_served_with_and_without_a_key(self):
        route = forward_route(is_public=True)
        forged = (b"X-Tenant-Id", b"guard")
        for headers, expected in (
            ((), None),
            ((key_header(),), b"desk"),
            ((key_header(b"unknown"),), None),
            ((key_header(), key_header(OTHER_KEY)), None),
        ):
            with self.subTest(headers):
                sent = await self._sent(fixture_of(route), "/fetch/a", forged, *headers)
                for payload in sent:
                    self.assertNotIn(b"X-Key", payload)
                    stated = payload.partition(b"X-Tenant-Id: ")[2].partition(b"\r")[0]
                    self.assertEqual(stated or None, expected)

    @trio_test
    async def test_nothing_changes_without_workspaces(self):
        """Guards against a change for callers of deployments without workspaces."""
        fixture = GatewayFixture(forward_route())
        headers = (key_header(), (b"X-Tenant-Id", b"mine"))
        for payload in await self._sent(fixture, "/fetch/a", *headers):
            self.assertIn(b"\r\nX-Key: " + KEY + b"\r\nX-Tenant-Id: mine\r\n", payload)


class RefusalTest(unittest.TestCase):
    """Requests that are refused for their key."""

    @trio_test
    async def test_unknown_and_missing_keys_are_refused_at_once(self):
        """Guards against requests that run without a key of the configuration."""
        for headers, reason in (
            ((), "no_key"),
            ((key_header(b""),), "no_key"),
            ((key_header(), key_header()), "several_keys"),
            ((key_header(b"unknown"),), "unknown_key"),
            ((key_header(KEY.upper()),), "unknown_key"),
        ):
            fixture = fixture_of()
            async with fixture.running():
                started_s = trio.current_time()
                reply = await fixture.send_request("/fetch/a", headers=headers)
                took_s = trio.current_time() - started_s
            with self.subTest(reason):
                self.assertEqual((reply.status, reply.reason), (401, reason))
                self.assertEqual((took_s, payloads_of(fixture)), (0.0, []))
                refused = fixture.observer.counters.value(CounterKind.REFUSALS, reason)
                self.assertEqual(refused, 1)

    @trio_test
    async def test_unknown_key_at_an_instance_behind_the_store_may_be_repeated(self):
        """Guards against a 401 for a key that was just added.

        Callers do not repeat a 401; the key is known at other instances.
        """
        fixture = fixture_of()
        fixture.is_fresh = False
        async with fixture.running():
            unknown = await fixture.send_request(
                "/fetch/a", headers=[key_header(b"new")]
            )
            known = await fixture.send_request("/fetch/a", headers=[key_header()])
            missing = await fixture.send_request("/fetch/a")
        self.assertEqual((unknown.status, unknown.reason), (503, "key_not_known_yet"))
        self.assertIn(b"Retry-After", dict(unknown.headers))
        self.assertEqual((known.status, missing.status), (200, 401))

    @trio_test
    async def test_revoked_key_is_refused_on_the_next_request(self):
        """Guards against a key that works on an open connection after it is revoked."""
        fixture = fixture_of()
        async with fixture.running():
            before = await fixture.send_request("/fetch/a", headers=[key_header()])
            fixture.workspaces = (workspace("desk", b"n3w"), fixture.workspaces[1])
            fixture.apply_configuration(2)
            after = await fixture.send_request("/fetch/a", headers=[key_header()])
            new = await fixture.send_request("/fetch/a", headers=[key_header(b"n3w")])
        self.assertEqual(
            [item.status for item in (before, after, new)], [200, 401, 200]
        )

    @trio_test
    async def test_key_is_in_no_log_line(self):
        """Guards against keys that are read from logs."""
        fixture = fixture_of()
        with self.assertLogs("ibisfront", "INFO") as logs:
            async with fixture.running():
                for key in (KEY, b"unkn0wn-s3cret"):
                    await fixture.send_request("/fetch/a", headers=[key_header(key)])
        text = str([vars(record) for record in logs.records])
        self.assertNotIn(KEY.decode(), text)
        self.assertNotIn("unkn0wn-s3cret", text)
        self.assertIn(digest_key(b"unkn0wn-s3cret")[:8], text)
        self.assertNotIn(digest_key(b"unkn0wn-s3cret"), text)

    @trio_test
    async def test_fingerprint_of_a_crash_suspect_has_no_key(self):
        """Guards against reports between instances that carry a key's digest."""
        zones = TwoZones(gather_route(4))
        request = zones.request("/search/a")
        zones.headers = [key_header()]
        self.assertEqual(
            fingerprint_of(request), fingerprint_of(zones.request("/search/a"))
        )


class DelegatedTest(unittest.TestCase):
    """Queries that another instance runs."""

    def _zones(self, **changes):
        zones = TwoZones(gather_route(20), **changes)
        zones.workspaces = (workspace(rank=0),)
        zones.headers = [key_header(), (b"X-Tenant-Id", b"guard")]
        return zones

    @trio_test
    async def test_delegated_parts_carry_workspace_and_rank(self):
        """Guards against parts of other zones that lose the workspace."""
        for delegates in (False, True):
            zones = self._zones(delegates=delegates)
            async with zones.running():
                reply = await zones.send_request("z0")
            with self.subTest(delegates=delegates):
                self.assertEqual((reply.status, reply.reason), (200, "whole"))
                self.assertGreater(zones.delegated, 0)
                for payload in zones.payloads:
                    self.assertIn(b"\r\nX-Tenant-Id: desk\r\n", payload)
                    self.assertEqual(payload.lower().count(b"x-tenant-id"), 1)
                    self.assertNotIn(KEY, payload)
                    self.assertNotIn(b"x-ibisfront", payload.lower())
                self.assertEqual({item.rank for item in zones.received}, {0})

    @trio_test
    async def test_coordinator_without_the_workspace_does_not_run_the_query(self):
        """Guards against a workspace's query run under another configuration.

        Neither an instance that lacks the workspace nor one that has none at all
        knows its rank and its limits.
        """
        for workspaces in ((workspace("other"),), ()):
            zones = self._zones()
            async with zones.running():
                zones.workspaces = workspaces
                zones.apply_configuration(2, gather_route(20), only="z1")
                reply = await zones.send_request("z0")
                refused = zones.gateways["z1"]._gateway_context._observer.counters
            with self.subTest(workspaces):
                self.assertEqual(reply.status, 200)
                count = refused.value(CounterKind.REFUSALS, "other_workspaces")
                self.assertGreater(count, 0)

    @trio_test
    async def test_key_revoked_while_no_coordinator_takes_the_query_is_refused(self):
        """Guards against a revoked key that is served since its query was sent twice.

        The coordinators have a newer list of services for a moment.
        """
        zones = self._zones(delegates=True)
        replies = []

        async def send():
            replies.append(await zones.send_request("z0"))

        async with zones.running(), trio.open_nursery() as nursery:
            for zone in ("z1", "z2"):
                zones.apply_configuration(2, gather_route(19), only=zone)
            nursery.start_soon(send)
            await trio.sleep(0.03)
            self.assertEqual(replies, [])
            zones.workspaces = (workspace("desk", b"n3w"),)
            zones.apply_configuration(3, gather_route(20))
        self.assertEqual([item.reason for item in replies], ["unknown_key"])
        self.assertEqual(zones.payloads, [])

    @trio_test
    async def test_query_of_an_instance_without_workspaces_is_not_run(self):
        """Guards against a key that one instance does not know as a key.

        It has an older configuration, without workspaces, and passes the caller's
        headers on to a coordinator that has them.
        """
        zones = self._zones()
        async with zones.running():
            zones.workspaces = ()
            zones.apply_configuration(2, gather_route(20), only="z0")
            await zones.send_request("z0")
            counters = zones.gateways["z1"]._gateway_context._observer.counters
        self.assertEqual(counters.value(CounterKind.REFUSALS, "other_workspaces"), 1)


class _Tickets:
    """Counts tickets, and lets tests delay or refuse them."""

    def __init__(self):
        self.taken = []
        self.returned = 0
        self.refusal = None
        self.release = None

    def give_back(self):
        self.returned += 1

    async def take(self, workspace, until_ms):
        self.taken.append((workspace.name, until_ms))
        if self.release is not None:
            await self.release.wait()
        return self if self.refusal is None else self.refusal


class QuotaTest(unittest.TestCase):
    """The ticket of a request of a limited workspace."""

    def setUp(self):
        self.tickets = _Tickets()
        self.fixture = fixture_of(
            workspaces=(
                workspace(limit_per_s=9.0),
                workspace("guard", OTHER_KEY),
            )
        )
        self.fixture.take_quota = self.tickets.take

    async def _send(self, key=KEY, **changes):
        return await self.fixture.send_request(
            "/fetch/a", headers=[key_header(key)], **changes
        )

    @trio_test
    async def test_request_over_the_limit_is_refused(self):
        self.tickets.refusal = QuotaRefusal(700.0, "over_quota")
        async with self.fixture.running():
            limited = await self._send()
            unlimited = await self._send(OTHER_KEY)
        self.assertEqual((limited.status, limited.reason), (429, "over_quota"))
        self.assertEqual(dict(limited.headers)[b"Retry-After"], b"0.700")
        self.assertEqual((unlimited.status, len(self.tickets.taken)), (200, 1))

    @trio_test
    async def test_ticket_is_returned_only_if_no_server_was_reached(self):
        """Guards against a limit that is used up by refused requests."""
        fixture = self.fixture
        async with fixture.running():
            await self._send()
            self.assertEqual(self.tickets.returned, 0)
            for server in fixture.all_servers():
                server.accepts_connections = False
                fixture.registry.remove(server.entry.server_id)
            reply = await self._send()
        self.assertEqual((reply.status, self.tickets.returned), (503, 1))

    @trio_test
    async def test_ticket_of_a_caller_that_leaves_before_sending_is_returned(self):
        fixture = self.fixture
        for server in fixture.all_servers():
            server.accepts_connections = False
        async with fixture.running():
            with trio.move_on_after(0.0005):
                await self._send()
        self.assertEqual((len(self.tickets.taken), self.tickets.returned), (1, 1))

    @trio_test
    async def test_key_revoked_while_the_request_waits_is_refused(self):
        """Guards against a revoked key that is served since it waited for a ticket."""
        fixture, tickets = self.fixture, self.tickets
        for changed, expected in (
            ((workspace("desk", b"n3w", limit_per_s=9.0),), (401, "unknown_key")),
            ((workspace("guard"),), (503, "workspace_changed")),
        ):
            before = fixture.workspaces
            tickets.release = trio.Event()
            replies = []

            async def send(replies=replies):
                replies.append(await self._send())

            async with fixture.running(), trio.open_nursery() as nursery:
                nursery.start_soon(send)
                await trio.sleep(0.01)
                fixture.workspaces = changed
                fixture.apply_configuration(2)
                tickets.release.set()
            fixture.workspaces = before
            with self.subTest(expected):
                reply = replies[0]
                self.assertEqual((reply.status, reply.reason), expected)
        self.assertEqual((payloads_of(fixture), tickets.returned), ([], 2))


class RankTest(unittest.TestCase):
    """The workspace's rank goes before the route's."""

    @trio_test
    async def test_rank_of_the_workspace_replaces_that_of_the_route(self):
        for rank, expected in ((0, 0), (7, 7), (None, 1)):
            fixture = fixture_of(workspaces=(workspace(rank=rank),))
            async with fixture.running():
                await fixture.send_request("/fetch/a", headers=[key_header()])
            ranks = {
                item.rank
                for server in fixture.all_servers()
                for item in server.received
            }
            self.assertEqual(ranks, {expected})


class ManyKeysTest(unittest.TestCase):
    """Versions share unchanged workspaces."""

    @trio_test
    async def test_unchanged_workspaces_are_not_read_again(self):
        fixture = fixture_of()
        async with fixture.running() as gateway:
            before = gateway.table.workspaces
            # As decoded again, not the same objects.
            data = msgspec.json.encode(fixture.workspaces)
            fixture.workspaces = msgspec.json.decode(data, type=tuple[Workspace, ...])
            fixture.apply_configuration(2)
            self.assertIs(gateway.table.workspaces, before)

    def test_any_two_versions_have_the_directory_of_the_later_one(self):
        """Guards against a key that is revoked or moved and stays known."""
        rng = random.Random(3)
        directory = WorkspaceDirectory()
        for _ in range(300):
            keys = iter(rng.sample("abcdefghij", 10))
            workspaces = tuple(
                Workspace(name, tuple(islice(keys, rng.randrange(4))))
                for name in rng.sample("xyz", rng.randrange(4))
            )
            directory = directory.updated(workspaces)
            expected = {
                digest: item for item in workspaces for digest in item.key_digests
            }
            for digest in "abcdefghij":
                self.assertEqual(directory.find(digest), expected.get(digest))
            self.assertEqual(bool(directory), bool(workspaces))
