"""Tests of sending claimed requests: draining servers and crashing requests."""

from __future__ import annotations

import unittest
from itertools import count

import msgspec
import trio

from ibisfront.core.attempts import Attempt
from ibisfront.core.claim import AttemptId, ClaimState
from ibisfront.core.claim_answers import not_run_error
from ibisfront.core.claimed_run import ClaimedRun, run_claimed
from ibisfront.core.coverage import MissingReason
from ibisfront.core.errors import ErrorKind, Ran
from ibisfront.core.idempotency_key import make_key, parse_key
from ibisfront.core.perform_sender import PerformSender
from ibisfront.core.query import CallerRequest
from ibisfront.core.server_status import ServerStatuses
from ibisfront.core.service import BackendServer
from ibisfront.core.table import Purpose
from ibisfront.testing.peers import PeerNetwork
from ibisfront.testing.search_fixture import SearchFixture
from ibisfront.tests import trio_test

SERVER = BackendServer("s1-0", "s1-0:1", "z1")
PURPOSE = Purpose("print-envelopes", "perform", service="s1")
SERVERS = 4
CRASHING = {"text": "boom"}


class _Setup:
    """A sender, its servers, and the server statuses of two instances."""

    def __init__(self, nursery):
        self.fixture = SearchFixture(servers=SERVERS)
        self.clock = self.fixture.clock
        network = PeerNetwork(clock=self.clock, nursery=nursery)
        self.server_statuses, self.peer_statuses = (
            ServerStatuses(
                self.fixture.store, peers=network.join(name), clock=self.clock
            )
            for name in ("i1", "i2")
        )
        self.sender = PerformSender(
            catalogue=self.fixture.catalogue,
            open_connection=self.fixture.network.open_connection,
            clock=self.clock,
            counters=self.fixture.counters,
            zone="z1",
            maximum_connections=4,
            server_statuses=self.server_statuses,
            quarantine=self.fixture.quarantine,
        )
        self._numbers = count()

    async def perform(self, body=None):
        """Send one claimed request under a new key; return its claim record."""
        number = next(self._numbers)
        deadline_at_ms = self.clock.now_ms() + 1_000.0
        attempt = Attempt(
            AttemptId("i1", "p1", number),
            parse_key(make_key(wall_ms=0.0, random_bits=number)),
            fingerprint="f",
            deadline_at_ms=deadline_at_ms,
        )
        request = CallerRequest(
            request_id=f"r{number}",
            branch="vestry",
            purpose=PURPOSE.name,
            body_json=msgspec.json.encode(body or {"number": number}),
            deadline_at_ms=deadline_at_ms,
        )
        run = ClaimedRun(request, PURPOSE, attempt=attempt, clock=self.clock)
        return await run_claimed(run, self.sender.send, self.clock)

    def sent_to(self, number):
        """Return the number of requests sent to a server."""
        return self.fixture.network.sent[f"s1-{number}:1"]


class DrainingServerTest(unittest.TestCase):
    """A draining server gets no new non-idempotent work."""

    @trio_test
    async def test_drain_reported_to_another_instance_stops_new_work_here(self):
        """Guards against new work for a server that drains.

        The server has reported the drain to another instance, but the
        register lags and still lists it as live. Each request was sent to it
        first, refused, and retried on another server.
        """
        async with trio.open_nursery() as nursery:
            setup = _Setup(nursery)
            setup.peer_statuses.record_draining(SERVER)
            await setup.clock.sleep_ms(10.0)
            records = [await setup.perform() for _ in range(20)]
            self.assertEqual({item.state for item in records}, {ClaimState.RAN})
            self.assertEqual(setup.sent_to(0), 0)

    @trio_test
    async def test_drain_received_here_is_published(self):
        """Guards against a draining server refusing every single request.

        The server refuses one request as draining. If the drain only affects
        that request, later requests of every instance are sent and refused.
        """
        async with trio.open_nursery() as nursery:
            setup = _Setup(nursery)
            setup.fixture.set_faults("s1", 0, draining=True)
            records = [await setup.perform() for _ in range(20)]
            self.assertEqual({item.state for item in records}, {ClaimState.RAN})
            self.assertEqual(setup.sent_to(0), 1)
            await setup.clock.sleep_ms(10.0)
            self.assertTrue(setup.peer_statuses.is_draining(SERVER))


class CrashingRequestTest(unittest.TestCase):
    """A request that crashes servers is repeated under new keys."""

    @trio_test
    async def test_new_keys_of_a_crashing_body_stop_at_the_second_server(self):
        """Guards against one request that crashes every server of a service.

        Each key is sent only once, but the caller creates a new key for each
        attempt, and each attempt reaches another server.
        """
        async with trio.open_nursery() as nursery:
            setup = _Setup(nursery)
            for number in range(SERVERS):
                setup.fixture.set_faults(
                    "s1", number, crash_marker="boom", crash_down_ms=60_000.0
                )
            records = [await setup.perform(CRASHING) for _ in range(6)]
            crashed = sum(
                setup.fixture.server("s1", number).state().counts.crashes
                for number in range(SERVERS)
            )
            self.assertEqual(crashed, 2)
            self.assertEqual(
                [item.state for item in records],
                [ClaimState.UNKNOWN] * 2 + [ClaimState.NOT_RUN] * 4,
            )
            self.assertEqual(records[-1].reason, MissingReason.QUARANTINED.value)
            error = not_run_error(records[-1], "key")
            self.assertEqual((error.kind, error.ran), (ErrorKind.QUARANTINED, Ran.NO))
            self.assertEqual((await setup.perform()).state, ClaimState.RAN)
