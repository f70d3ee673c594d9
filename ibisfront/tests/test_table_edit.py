"""Tests of table edits under conflicts, lost responses and outages."""

from __future__ import annotations

import unittest

import msgspec
import trio

from ibisfront.core.clock import Clock
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.objects import ObjectKind
from ibisfront.core.table import (
    TABLE_NAME,
    EditSummary,
    Purpose,
    Row,
    RowChange,
    Table,
)
from ibisfront.core.table_changes import apply_changes
from ibisfront.core.table_edit import (
    MAX_HISTORY_BYTES,
    MAX_HISTORY_EDITS,
    EditAccepted,
    TableConflictError,
    TableProposal,
    bounded_history,
    edit_table,
    read_table,
)
from ibisfront.testing.local_platform import LocalPlatform
from ibisfront.testing.platform_state import FakePlatform
from ibisfront.testing.platform_types import Outage, PlatformFaults
from ibisfront.tests import trio_test

FIRST = Table(
    purposes=(
        Purpose("name-check", "search", index="register", urgent=True),
        Purpose("bulk-lookup", "search", index="register"),
    ),
    rows=(Row("vestry", "name-check"), Row("harbour", "name-check")),
)


class _TableEditor:
    """Submits edits to a fake platform and reads back the table."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.fake = FakePlatform(clock=self.clock)
        self.platform = LocalPlatform(self.fake, clock=self.clock)

    async def edit(
        self, table: Table, base_version: int, edit_id: str = "e1", **options: float
    ) -> EditAccepted:
        proposal = TableProposal(
            table=table,
            base_version=base_version,
            edit_id=edit_id,
            edited_by=f"operator of {edit_id}",
        )
        return await edit_table(self.platform, proposal, clock=self.clock, **options)

    async def first(self) -> int:
        return (await self.edit(FIRST, 0, "e0")).version

    async def weights(self) -> dict[str, float]:
        self.fake.set_faults(PlatformFaults())
        table = (await read_table(self.platform)).table
        return {row.branch: row.weight for row in table.rows}

    async def edit_ids(self) -> list[str]:
        table = (await read_table(self.platform)).table
        return [edit.edit_id for edit in table.history]


def _weighted(branch: str, weight: float, table: Table = FIRST) -> Table:
    rows = tuple(
        msgspec.structs.replace(row, weight=weight) if row.branch == branch else row
        for row in table.rows
    )
    return msgspec.structs.replace(table, rows=rows)


class ConflictTest(unittest.TestCase):
    """Two operators edit the table concurrently."""

    @trio_test
    async def test_second_edit_shows_both_and_can_be_made_again(self) -> None:
        """Two operators read one version and edit different rows of it.

        Replacing the whole table, the second write would silently undo the
        first. It is rejected with both edits and the information that they do
        not overlap; reapplied to the new version, both edits take effect.
        """
        editor = _TableEditor()
        base = await editor.first()
        first = await editor.edit(_weighted("vestry", 2.0), base, "e1")
        with self.assertRaises(TableConflictError) as raised:
            await editor.edit(_weighted("harbour", 3.0), base, "e2")
        conflict = raised.exception.conflict
        self.assertEqual(conflict.current_version, first.version)
        self.assertEqual([edit.edit_id for edit in conflict.theirs], ["e1"])
        (theirs,) = conflict.theirs[0].changes
        (yours,) = conflict.yours
        self.assertEqual((theirs.branch, theirs.after.weight), ("vestry", 2.0))
        self.assertEqual((yours.branch, yours.after.weight), ("harbour", 3.0))
        self.assertFalse(conflict.overlaps)
        current = await read_table(editor.platform)
        again = apply_changes(current.table, conflict.yours)
        await editor.edit(again, current.version, "e2")
        self.assertEqual(await editor.weights(), {"vestry": 2.0, "harbour": 3.0})

    @trio_test
    async def test_edits_of_one_row_overlap(self) -> None:
        """Two operators change the weight of the same row concurrently.

        Reapplied by the tool, the second edit would silently replace the first.
        The conflict reports the overlap, so that an operator decides.
        """
        editor = _TableEditor()
        base = await editor.first()
        await editor.edit(_weighted("vestry", 2.0), base, "e1")
        with self.assertRaises(TableConflictError) as raised:
            await editor.edit(_weighted("vestry", 3.0), base, "e2")
        self.assertTrue(raised.exception.conflict.overlaps)
        self.assertEqual((await editor.weights())["vestry"], 2.0)

    @trio_test
    async def test_row_of_a_removed_purpose_overlaps(self) -> None:
        """One operator removes a purpose while another adds a row for it.

        The edits share no row, but reapplied, the second one would refer to a
        purpose that no longer exists.
        """
        editor = _TableEditor()
        base = await editor.first()
        fewer = msgspec.structs.replace(FIRST, purposes=FIRST.purposes[:1])
        await editor.edit(fewer, base, "e1")
        row = Row("vestry", "bulk-lookup")
        more = msgspec.structs.replace(FIRST, rows=(*FIRST.rows, row))
        with self.assertRaises(TableConflictError) as raised:
            await editor.edit(more, base, "e2")
        self.assertTrue(raised.exception.conflict.overlaps)

    @trio_test
    async def test_conflict_past_the_history_counts_as_overlap(self) -> None:
        editor = _TableEditor()
        base = version = await editor.first()
        for number in range(MAX_HISTORY_EDITS + 1):
            accepted = await editor.edit(
                _weighted("vestry", 2.0 + number), version, f"n{number}"
            )
            version = accepted.version
        with self.assertRaises(TableConflictError) as raised:
            await editor.edit(_weighted("harbour", 3.0), base, "old")
        conflict = raised.exception.conflict
        self.assertIsNone(conflict.yours)
        self.assertTrue(conflict.overlaps)
        self.assertEqual(len(conflict.theirs), MAX_HISTORY_EDITS)

    @trio_test
    async def test_stale_read_is_no_conflict(self) -> None:
        """The platform serves a stale version of the table to the edit.

        Treated as current, it would cause the rejection of an edit whose base
        version is in fact the newest.
        """
        editor = _TableEditor()
        await editor.first()
        base = (await editor.edit(_weighted("vestry", 2.0), 1, "e1")).version
        editor.fake.set_faults(PlatformFaults(stale_revisions=1))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_clear_faults, editor, 500.0)
            await editor.edit(_weighted("vestry", 4.0), base, "e2")
        self.assertEqual((await editor.weights())["vestry"], 4.0)


class LostAnswerTest(unittest.TestCase):
    """The request or the response of an edit's write is lost."""

    async def _edit_with(
        self, faults: PlatformFaults, *, clear_ms: float
    ) -> _TableEditor:
        editor = _TableEditor()
        base = await editor.first()
        editor.fake.set_faults(faults)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_clear_faults, editor, clear_ms)
            self.accepted = await editor.edit(_weighted("vestry", 2.0), base)
        return editor

    @trio_test
    async def test_written_and_answer_lost(self) -> None:
        """A write takes effect and its response is lost.

        If it were reported as failed, the operator would repeat the edit or
        assume that the old table is in force. The edit is found by its id and
        reported as accepted.
        """
        faults = PlatformFaults(lose_answers_fraction=1.0)
        editor = await self._edit_with(faults, clear_ms=50.0)
        self.assertEqual((await editor.weights())["vestry"], 2.0)
        self.assertEqual(await editor.edit_ids(), ["e0", "e1"])
        self.assertEqual(self.accepted.version, 2)

    @trio_test
    async def test_request_lost(self) -> None:
        faults = PlatformFaults(lose_requests_fraction=1.0)
        editor = await self._edit_with(faults, clear_ms=50.0)
        self.assertEqual((await editor.weights())["vestry"], 2.0)
        self.assertEqual(await editor.edit_ids(), ["e0", "e1"])

    @trio_test
    async def test_late_write_cannot_undo_a_later_edit(self) -> None:
        """A delayed write arrives after its retry was accepted.

        Another operator has edited in between, and the delayed write would
        overwrite that accepted edit. It is rejected because its base version
        has been replaced.
        """
        faults = PlatformFaults(late_writes_fraction=1.0, late_write_ms=5000.0)
        editor = await self._edit_with(faults, clear_ms=50.0)
        table = _weighted("harbour", 7.0, _weighted("vestry", 2.0))
        await editor.edit(table, self.accepted.version, "e2")
        await editor.clock.sleep_ms(10_000.0)
        self.assertEqual(await editor.weights(), {"vestry": 2.0, "harbour": 7.0})
        self.assertEqual(await editor.edit_ids(), ["e0", "e1", "e2"])

    @trio_test
    async def test_late_write_that_arrives_before_the_retry(self) -> None:
        faults = PlatformFaults(late_writes_fraction=1.0, late_write_ms=20.0)
        editor = await self._edit_with(faults, clear_ms=10.0)
        self.assertEqual(await editor.edit_ids(), ["e0", "e1"])
        self.assertEqual((await editor.weights())["vestry"], 2.0)

    @trio_test
    async def test_lost_request_overtaken_by_another_is_a_conflict(self) -> None:
        """A write is lost and another operator's edit is accepted.

        The lost write can no longer take effect, as its base version has been
        replaced: it is reported as a conflict and not as unknown.
        """
        editor = _TableEditor()
        base = await editor.first()
        editor.fake.set_faults(PlatformFaults(lose_requests_fraction=1.0))

        async def overtake() -> None:
            await editor.clock.sleep_ms(50.0)
            editor.fake.set_faults(PlatformFaults())
            await editor.edit(_weighted("harbour", 3.0), base, "other")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(overtake)
            with self.assertRaises(TableConflictError):
                await editor.edit(_weighted("vestry", 2.0), base, "e1")
        self.assertEqual(await editor.weights(), {"vestry": 1.0, "harbour": 3.0})

    @trio_test
    async def test_outcome_stays_unknown_in_an_outage(self) -> None:
        """The response is lost and the platform is then unavailable.

        Neither "accepted" nor "rejected" would be certain, so the outcome is
        reported as unknown. Retried later with the same id, the edit is
        accepted and applied once.
        """
        editor = _TableEditor()
        base = await editor.first()
        editor.fake.set_faults(PlatformFaults(lose_answers_fraction=1.0))

        async def start_outage() -> None:
            await editor.clock.sleep_ms(50.0)
            editor.fake.set_faults(PlatformFaults(outage=Outage.HANG))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(start_outage)
            with self.assertRaises(IbisfrontError) as raised:
                await editor.edit(_weighted("vestry", 2.0), base, "e1")
        self.assertIs(raised.exception.kind, ErrorKind.WRITE_UNKNOWN)
        editor.fake.set_faults(PlatformFaults())
        accepted = await editor.edit(_weighted("vestry", 2.0), base, "e1")
        self.assertEqual(accepted.version, 2)
        self.assertEqual(await editor.edit_ids(), ["e0", "e1"])

    @trio_test
    async def test_outage_before_the_write_is_reported(self) -> None:
        editor = _TableEditor()
        base = await editor.first()
        editor.fake.set_faults(PlatformFaults(outage=Outage.REFUSE))
        with self.assertRaises(IbisfrontError) as raised:
            await editor.edit(_weighted("vestry", 2.0), base)
        self.assertIs(raised.exception.kind, ErrorKind.PLATFORM_UNAVAILABLE)


class CheckTest(unittest.TestCase):
    """Invalid tables are rejected before they are written."""

    @trio_test
    async def test_problems_are_reported(self) -> None:
        editor = _TableEditor()
        cases = {
            "has weight 0": (Row("vestry", "name-check", weight=0.0),),
            "has weight nan": (Row("vestry", "name-check", weight=float("nan")),),
            "has limit_per_s -1": (Row("vestry", "name-check", limit_per_s=-1.0),),
            "has max_in_flight 0": (Row("vestry", "name-check", max_in_flight=0),),
            "refers to an unknown purpose": (Row("vestry", "nothing"),),
            "is defined twice": (
                Row("vestry", "name-check"),
                Row("vestry", "name-check"),
            ),
        }
        for words, rows in cases.items():
            with self.subTest(words), self.assertRaises(IbisfrontError) as raised:
                await editor.edit(msgspec.structs.replace(FIRST, rows=rows), 0)
            self.assertIs(raised.exception.kind, ErrorKind.BAD_REQUEST)
            self.assertIn(words, raised.exception.detail)
        self.assertEqual((await read_table(editor.platform)).version, 0)

    @trio_test
    async def test_edit_that_changes_nothing_is_refused(self) -> None:
        editor = _TableEditor()
        base = await editor.first()
        with self.assertRaises(IbisfrontError) as raised:
            await editor.edit(FIRST, base, "e1")
        self.assertIs(raised.exception.kind, ErrorKind.BAD_REQUEST)

    @trio_test
    async def test_stored_value_that_is_not_a_table_is_reported(self) -> None:
        editor = _TableEditor()
        await editor.fake.put(ObjectKind.TABLE, TABLE_NAME, [1], if_version=None)
        with self.assertRaises(IbisfrontError) as raised:
            await editor.edit(FIRST, 1)
        self.assertIs(raised.exception.kind, ErrorKind.INTERNAL)


class HistoryTest(unittest.TestCase):
    """The history is bounded in number of edits and in size."""

    def test_bounds(self) -> None:
        changes = tuple(
            RowChange(after=Row(f"branch-{number}", "name-check"))
            for number in range(20)
        )
        edits = tuple(
            EditSummary(f"e{number}", "operator", 0.0, number, changes)
            for number in range(200)
        )
        kept = bounded_history(edits)
        self.assertLessEqual(len(kept), MAX_HISTORY_EDITS)
        self.assertLessEqual(len(msgspec.json.encode(kept)), MAX_HISTORY_BYTES + 1000)
        self.assertEqual(kept[-1], edits[-1])

    def test_edit_too_large_for_the_history_is_kept_without_its_changes(self) -> None:
        changes = tuple(
            RowChange(after=Row(f"branch-{number}", "name-check"))
            for number in range(2000)
        )
        (kept,) = bounded_history((EditSummary("e", "operator", 0.0, 7, changes),))
        self.assertFalse(kept.whole)
        self.assertEqual(kept.base_version, 7)


async def _clear_faults(editor: _TableEditor, after_ms: float) -> None:
    await editor.clock.sleep_ms(after_ms)
    editor.fake.set_faults(PlatformFaults())
