"""Properties of the server registry under arbitrary histories of entries."""

from __future__ import annotations

import json
import logging
import unittest
from types import SimpleNamespace

import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from ibisfront.core.clock import Clock
from ibisfront.front.targets import servers_target
from ibisfront.gateway.observability import Observer
from ibisfront.gateway.servers.server_registry import ServerRegistry
from ibisfront.gateway.state.store import Listing, ObjectChange, StoredObject

IDS = ("i-1", "i-2", "i-3")
MALFORMED_SPECS = (
    b"null",
    b"[1]",
    b"{",
    b'"text"',
    b"\xff\xfe",
    b'{"service":7}',
    b'{"service":"s","addr":"10.0.0.1:80"}',
    b'{"service":"s","addr":"nowhere","zone":"z","version":"v","slots":1,'
    b'"state":"ready","warmupLeftMs":0,"seq":1}',
)


def spec_of(server_id, born, state):
    """Return a valid entry, as written by its server."""
    number = IDS.index(server_id) + 1
    fields = {
        "service": "s",
        "addr": f"10.0.0.{number}:80",
        "zone": "z",
        "version": "v1",
        "slots": 2,
        "state": state,
        "warmupLeftMs": 0,
        "seq": 1,
        "born": born,
    }
    return json.dumps(fields).encode()


WRITES = st.tuples(
    st.sampled_from(IDS),
    st.one_of(
        st.tuples(st.integers(1, 4), st.sampled_from(("ready", "draining"))),
        st.sampled_from(MALFORMED_SPECS),
        st.none(),
    ),
)


class RegistryModel:
    """Independent model of the documented rules for entries.

    For each id only the newest start ever listed counts, and entries of earlier
    starts are ignored. A removed or malformed entry defines no server, and a
    draining server receives no new requests.
    """

    def __init__(self):
        self.newest = dict.fromkeys(IDS, 0)
        self.usable = {}

    def write(self, server_id, written):
        if written is None or isinstance(written, bytes):
            self.usable.pop(server_id, None)
            return
        born, state = written
        if born < self.newest[server_id]:
            return
        self.newest[server_id] = born
        self.usable[server_id] = (born, state == "ready")

    def expected(self):
        return {
            (server_id, born)
            for server_id, (born, is_ready) in self.usable.items()
            if is_ready
        }


class EntryHistoryProperties(unittest.TestCase):
    """Requests go only to the right servers after any history of entries."""

    def setUp(self):
        # Hypothesis generates thousands of malformed entries, and each is logged.
        log = logging.getLogger("ibisfront.backend")
        self.addCleanup(log.setLevel, log.level)
        log.setLevel(logging.CRITICAL)

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(st.tuples(WRITES, st.booleans()), min_size=1, max_size=25),
    )
    def test_usable_servers_are_the_newest_ready_ones(self, history):
        """Searches must not use a dead server or omit a live one.

        Servers restart under the same ids, other writers replace their entries
        with malformed ones, entries are removed, and earlier writes are read
        again, as changes and complete lists in any order.
        """
        trio.run(self._run_history, history, clock=MockClock())

    async def _run_history(self, history):
        registry = ServerRegistry(
            clock=Clock(), make_pool=lambda server: None, zone="z"
        )
        target = servers_target(_process_of(registry))
        model, objects = RegistryModel(), {}
        for revision, ((server_id, written), as_list) in enumerate(history, 1):
            model.write(server_id, written)
            change = _change(server_id, written, revision)
            if change.is_removed:
                objects.pop(server_id, None)
            else:
                objects[server_id] = change.object
            if as_list:
                target.replace(Listing(list(objects.values()), revision), False)
            else:
                target.apply_changes([change])
            usable = {
                (server.entry.server_id, server.entry.born_ms)
                for server in registry.of_service("s")
                if server.is_usable
            }
            self.assertEqual(usable, model.expected())


def _change(server_id, written, revision):
    if written is None:
        return ObjectChange(StoredObject(server_id, revision, b"null"), True)
    spec = written if isinstance(written, bytes) else spec_of(server_id, *written)
    return ObjectChange(StoredObject(server_id, revision, spec), False)


def _process_of(registry):
    """Return the parts of a process that are needed to apply entries."""
    return SimpleNamespace(
        registry=registry,
        observer=Observer(),
        connections=SimpleNamespace(warm_up=lambda registry: None),
        replace_servers=registry.replace,
        state_sync=SimpleNamespace(unavailable=set()),
        source=SimpleNamespace(
            record_change=lambda: None, notify_subscribers=lambda: None
        ),
    )
