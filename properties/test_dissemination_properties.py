"""Edits, restarts, stale reads, lost messages and lost replies in any order.

In every history, versions never decrease at an instance, an accepted edit never
disappears, a refused one never takes effect, and no edit takes effect twice.
"""

from __future__ import annotations

import msgspec
import trio
import trio.testing
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from ibisfront.adapters.peer_codec import FrameBuffer, encode
from ibisfront.core.catalogue import Catalogue
from ibisfront.core.clock import Clock
from ibisfront.core.counters import Counters
from ibisfront.core.dissemination import NewestKnown, ObjectDissemination
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.objects import (
    ObjectKind,
    ObjectName,
    ObjectStore,
    VersionedObject,
    WriteConflict,
)
from ibisfront.core.table import TABLE_NAME, Purpose, Row, Table
from ibisfront.core.table_edit import (
    EditAccepted,
    TableConflictError,
    TableProposal,
    edit_table,
    read_table,
)

NODES = ("i1", "i2", "i3")
TABLE = ObjectName(ObjectKind.TABLE, TABLE_NAME)
WRITE_FAULTS = ("none", "none", "lose_request", "lose_answer", "late")


class _Platform:
    """A fake platform with all versions of its objects, and drawn faults."""

    def __init__(self) -> None:
        self.write_log: list[VersionedObject] = []
        self.write_faults: list[str] = []
        self.stale_revisions = 0
        self.late: list[tuple[ObjectName, bytes, int | None]] = []

    @property
    def revision(self) -> int:
        return len(self.write_log)

    def at(self, revision: int) -> dict[ObjectName, VersionedObject]:
        found = {}
        for item in self.write_log[:revision]:
            found[ObjectName(item.kind, item.name)] = item
        return found

    def current(self, name: ObjectName) -> VersionedObject | None:
        found = self.at(self.revision).get(name)
        return None if found is None or found.value_json is None else found

    def write(
        self, name: ObjectName, value_json: bytes | None, if_version: int | None
    ) -> int:
        known = self.current(name)
        if (None if known is None else known.version) != if_version:
            raise WriteConflict(name.name)
        version = self.revision + 1
        self.write_log.append(
            VersionedObject(name.kind, name.name, version, value_json)
        )
        return version

    def apply_late_write(self) -> None:
        name, value_json, if_version = self.late.pop(0)
        try:
            self.write(name, value_json, if_version)
        except WriteConflict:
            return

    async def get(self, kind: ObjectKind, name: str) -> VersionedObject | None:
        revision = max(self.revision - self.stale_revisions, 0)
        self.stale_revisions = max(self.stale_revisions - 1, 0)
        found = self.at(revision).get(ObjectName(kind, name))
        return None if found is None or found.value_json is None else found

    async def put(
        self, kind: ObjectKind, name: str, value_json: bytes, *, if_version: int | None
    ) -> int:
        fault = self.write_faults.pop(0) if self.write_faults else "none"
        lost = IbisfrontError(ErrorKind.WRITE_UNKNOWN, fault)
        key = ObjectName(kind, name)
        if fault == "lose_request":
            raise lost
        if fault == "late":
            self.late.append((key, value_json, if_version))
            raise lost
        try:
            version = self.write(key, value_json, if_version)
        except WriteConflict:
            if fault == "lose_answer":
                raise lost from None
            raise
        if fault == "lose_answer":
            raise lost
        return version


class _Network:
    """Queues messages until the state machine delivers or drops them."""

    def __init__(self) -> None:
        self.waiting: list[tuple[str, str, bytes]] = []

    def deliver(self, position: int, nodes: dict[str, _Node]) -> None:
        sender, receiver, data = self.waiting.pop(position)
        (frame,) = FrameBuffer().feed(data)
        handler = nodes[receiver].handlers.get(type(frame.message))
        if handler is not None:
            handler(sender, frame.message)


class _Node:
    """One process of an instance, which also implements ``Peers``."""

    def __init__(self, name: str, network: _Network) -> None:
        self.name = name
        self.network = network
        self.handlers = {}
        self.store = ObjectStore()
        counters = Counters()
        self.catalogue = Catalogue(self.store, counters)
        self.dissemination = ObjectDissemination(
            self.store, peers=self, clock=_SteppingClock(), counters=counters
        )
        self.seen: dict[ObjectName, int] = {}
        self.table_version = 0

    def handle(self, message_type, handler) -> None:
        self.handlers[message_type] = handler

    def send(self, name: str, message) -> bool:
        self.network.waiting.append((self.name, name, encode(message)))
        return True

    def send_neighbours(self, message) -> None:
        for name in NODES:
            if name != self.name:
                self.send(name, message)


class _SteppingClock(Clock):
    """A clock that advances 10 s at each reading, so that no delay applies."""

    def __init__(self) -> None:
        super().__init__()
        self._reads = 0

    def now_ms(self) -> float:
        self._reads += 1
        return self._reads * 10_000.0


class DisseminationMachine(RuleBasedStateMachine):
    """Three instances, two operators and a platform with faults."""

    def __init__(self) -> None:
        super().__init__()
        self.platform = _Platform()
        self.network = _Network()
        self.nodes = {name: _Node(name, self.network) for name in NODES}
        self.edits = 0
        self.accepted: list[str] = []
        self.refused: list[str] = []
        self.unknown: list[TableProposal] = []

    @initialize()
    def create_table(self) -> None:
        table = Table(purposes=(Purpose("name-check", "search", index="register"),))
        self._edit(table, 0)

    @rule(
        faults=st.lists(st.sampled_from(WRITE_FAULTS), max_size=4),
        stale=st.integers(0, 3),
        versions_back=st.integers(0, 2),
    )
    def edit(self, faults: list[str], stale: int, versions_back: int) -> None:
        versions = [item.version for item in self.platform.write_log if _is_table(item)]
        base_version = versions[-1 - min(versions_back, len(versions) - 1)]
        table = _decoded(self.platform.write_log[base_version - 1])
        row = Row(f"branch-{self.edits}", "name-check")
        table = msgspec.structs.replace(table, rows=(*table.rows, row))
        self.platform.write_faults = list(faults)
        self.platform.stale_revisions = stale
        self._edit(table, base_version)

    @precondition(lambda self: self.unknown)
    @rule()
    def send_unknown_edit_again(self) -> None:
        proposal = self.unknown.pop(0)
        self._send(proposal)

    @rule(name=st.sampled_from(("a", "b", "c")), delete=st.booleans())
    def change_service(self, name: str, delete: bool) -> None:
        key = ObjectName(ObjectKind.SERVICE, name)
        known = self.platform.current(key)
        if delete and known is None:
            return
        self.platform.write(
            key,
            None if delete else b'{"backend_servers":[]}',
            None if known is None else known.version,
        )

    @precondition(lambda self: self.platform.late)
    @rule()
    def late_write_takes_effect(self) -> None:
        self.platform.apply_late_write()

    @rule(name=st.sampled_from(NODES), stale=st.integers(0, 6))
    def list_platform(self, name: str, stale: int) -> None:
        revision = max(self.platform.revision - stale, 0)
        found = [
            item
            for item in self.platform.at(revision).values()
            if item.value_json is not None
        ]
        self.nodes[name].dissemination.ingest_list(found, revision=revision)

    @rule(name=st.sampled_from(NODES), stale=st.integers(0, 3))
    def watch_platform(self, name: str, stale: int) -> None:
        node = self.nodes[name]
        after = node.store.revision
        revision = max(self.platform.revision - stale, 0)
        newest = self.platform.at(revision).values()
        found = sorted(
            (item for item in newest if item.version > after),
            key=lambda item: item.version,
        )
        node.dissemination.ingest_changes(found, after=after, revision=revision)

    @precondition(lambda self: self.network.waiting)
    @rule(
        data=st.data(),
        delivery=st.sampled_from(("deliver", "deliver", "twice", "drop")),
    )
    def message(self, data: st.DataObject, delivery: str) -> None:
        waiting = self.network.waiting
        position = data.draw(st.integers(0, len(waiting) - 1))
        if delivery == "drop":
            waiting.pop(position)
            return
        if delivery == "twice":
            waiting.append(waiting[position])
        self.network.deliver(position, self.nodes)

    @rule()
    def deliver_all(self) -> None:
        for _ in range(100):
            if not self.network.waiting:
                return
            self.network.deliver(0, self.nodes)

    @rule(pair=st.permutations(NODES))
    def heartbeat(self, pair: list[str]) -> None:
        sender, receiver = pair[:2]
        newest = self.nodes[sender].store.newest
        self.nodes[sender].send(receiver, NewestKnown(newest))

    @rule(name=st.sampled_from(NODES))
    def restart(self, name: str) -> None:
        self.network.waiting = [
            item for item in self.network.waiting if name not in item[:2]
        ]
        self.nodes[name] = _Node(name, self.network)

    @rule(name=st.sampled_from(NODES), stale=st.integers(0, 2))
    def restart_and_list(self, name: str, stale: int) -> None:
        self.restart(name)
        self.list_platform(name, stale)

    @rule(name=st.sampled_from(("a", "b", "c")), lagging=st.sampled_from(NODES))
    def delete_service_missed_by_one(self, name: str, lagging: str) -> None:
        for node in NODES:
            self.watch_platform(node, 0)
        self.change_service(name, delete=True)
        for node in NODES:
            if node != lagging:
                self.restart_and_list(node, 0)
        self.network.waiting.clear()

    @invariant()
    def versions_never_decrease(self) -> None:
        for node in self.nodes.values():
            assert node.catalogue.table_version >= node.table_version
            node.table_version = node.catalogue.table_version
            for item in node.store.changes_after(0):
                key = ObjectName(item.kind, item.name)
                assert item.version >= node.seen.get(key, 0)
                node.seen[key] = item.version

    @invariant()
    def complete_through_the_revision(self) -> None:
        for node in self.nodes.values():
            revision = node.store.revision
            expected = self.platform.at(revision)
            for name in set(expected) | set(node.store.present()):
                held = node.store.get(name.kind, name.name)
                item = expected.get(name)
                if held is None:
                    changed = self.platform.at(self.platform.revision)[name]
                    assert item.value_json is None or changed.version > revision
                elif held.version <= revision:
                    assert held == item

    @invariant()
    def table_in_force_was_written(self) -> None:
        for node in self.nodes.values():
            version = node.catalogue.table_version
            if version:
                assert node.catalogue.table == _decoded(
                    self.platform.write_log[version - 1]
                )

    @invariant()
    def outcomes_of_edits_hold(self) -> None:
        newest = self.platform.current(TABLE)
        applied = [] if newest is None else _edit_ids(_decoded(newest))
        assert len(applied) == len(set(applied))
        assert [edit_id for edit_id in applied if edit_id in self.accepted] == sorted(
            self.accepted, key=_number
        )
        assert not set(applied) & set(self.refused)

    def teardown(self) -> None:
        """Deliver everything; all instances must converge to the platform's state."""
        while self.platform.late:
            self.platform.apply_late_write()
            self.outcomes_of_edits_hold()
        self.network.waiting.clear()
        self.watch_platform("i1", 0)
        for _ in range(4):
            for sender in NODES:
                for receiver in NODES:
                    if sender != receiver:
                        self.heartbeat([sender, receiver])
            while self.network.waiting:
                self.network.deliver(0, self.nodes)
                self.versions_never_decrease()
        expected = {
            name: item
            for name, item in self.platform.at(self.platform.revision).items()
            if item.value_json is not None
        }
        for node in self.nodes.values():
            assert set(node.store.present()) == set(expected), node.name
            for name, item in expected.items():
                found = node.store.get(name.kind, name.name)
                assert found is not None
                assert found.version == item.version

    def _edit(self, table: Table, base_version: int) -> None:
        self.edits += 1
        self._send(
            TableProposal(
                table=table,
                base_version=base_version,
                edit_id=f"e{self.edits}",
                edited_by="operator",
            )
        )

    def _send(self, proposal: TableProposal) -> None:
        try:
            accepted = self._run_edit(proposal)
        except TableConflictError:
            self.refused.append(proposal.edit_id)
        except IbisfrontError as error:
            assert error.kind in (
                ErrorKind.WRITE_UNKNOWN,
                ErrorKind.PLATFORM_UNAVAILABLE,
            )
            self.unknown.append(proposal)
        else:
            self.accepted.append(accepted.edit_id)
            written = _decoded(self.platform.write_log[accepted.version - 1])
            assert written.edit_id == proposal.edit_id

    def _run_edit(self, proposal: TableProposal) -> EditAccepted:
        async def run() -> EditAccepted:
            await read_table(self.platform)
            return await edit_table(
                self.platform, proposal, clock=Clock(), outcome_timeout_ms=250.0
            )

        return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.0))


def _is_table(item: VersionedObject) -> bool:
    return item.kind is ObjectKind.TABLE


def _decoded(item: VersionedObject) -> Table:
    return msgspec.json.decode(item.value_json, type=Table)


def _edit_ids(table: Table) -> list[str]:
    return [edit.edit_id for edit in table.history]


def _number(edit_id: str) -> int:
    return int(edit_id.removeprefix("e"))


class DisseminationProperties(DisseminationMachine.TestCase):
    """Runs the state machine."""

    settings = settings(
        max_examples=120,
        stateful_step_count=40,
        deadline=None,
        derandomize=True,
        suppress_health_check=[HealthCheck.too_slow],
    )
