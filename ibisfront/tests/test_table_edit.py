"""Tests of editing the table under conflicts, lost answers and outages."""

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
    HISTORY_BYTES,
    HISTORY_EDITS,
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


class _Desk:
    """An operator's desk: a platform with a first table, and edits of it."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.fake = FakePlatform(clock=self.clock)
        self.platform = LocalPlatform(self.fake, clock=self.clock)

    async def edit(
        self, table: Table, base_version: int, edit_id: str = "e1", **settle: float
    ) -> EditAccepted:
        proposal = TableProposal(
            table=table,
            base_version=base_version,
            edit_id=edit_id,
            edited_by=f"operator of {edit_id}",
        )
        return await edit_table(self.platform, proposal, clock=self.clock, **settle)

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
    """Two operators edit the table at the same moment."""

    @trio_test
    async def test_second_edit_shows_both_and_can_be_made_again(self) -> None:
        """Two operators read one version and edit different rows of it.

        The second write would undo the first without a word if it replaced
        the whole table. It is refused instead, with both edits, and says that
        they do not overlap; made again on the new version, both stand.
        """
        desk = _Desk()
        base = await desk.first()
        first = await desk.edit(_weighted("vestry", 2.0), base, "e1")
        with self.assertRaises(TableConflictError) as raised:
            await desk.edit(_weighted("harbour", 3.0), base, "e2")
        conflict = raised.exception.conflict
        self.assertEqual(conflict.current_version, first.version)
        self.assertEqual([edit.edit_id for edit in conflict.theirs], ["e1"])
        (theirs,) = conflict.theirs[0].changes
        (yours,) = conflict.yours
        self.assertEqual((theirs.branch, theirs.after.weight), ("vestry", 2.0))
        self.assertEqual((yours.branch, yours.after.weight), ("harbour", 3.0))
        self.assertFalse(conflict.overlaps)
        current = await read_table(desk.platform)
        again = apply_changes(current.table, conflict.yours)
        await desk.edit(again, current.version, "e2")
        self.assertEqual(await desk.weights(), {"vestry": 2.0, "harbour": 3.0})

    @trio_test
    async def test_edits_of_one_row_overlap(self) -> None:
        """Two operators change the weight of one row at the same moment.

        Made again by the tool, the second would silently replace the first.
        The conflict says that they overlap, so that a person decides.
        """
        desk = _Desk()
        base = await desk.first()
        await desk.edit(_weighted("vestry", 2.0), base, "e1")
        with self.assertRaises(TableConflictError) as raised:
            await desk.edit(_weighted("vestry", 3.0), base, "e2")
        self.assertTrue(raised.exception.conflict.overlaps)
        self.assertEqual((await desk.weights())["vestry"], 2.0)

    @trio_test
    async def test_row_of_a_removed_purpose_overlaps(self) -> None:
        """One operator removes a purpose while another gives it a row.

        Row by row they touch nothing in common, but made again the second
        would name a purpose that is gone.
        """
        desk = _Desk()
        base = await desk.first()
        fewer = msgspec.structs.replace(FIRST, purposes=FIRST.purposes[:1])
        await desk.edit(fewer, base, "e1")
        row = Row("vestry", "bulk-lookup")
        more = msgspec.structs.replace(FIRST, rows=(*FIRST.rows, row))
        with self.assertRaises(TableConflictError) as raised:
            await desk.edit(more, base, "e2")
        self.assertTrue(raised.exception.conflict.overlaps)

    @trio_test
    async def test_conflict_past_the_history_counts_as_overlap(self) -> None:
        desk = _Desk()
        base = version = await desk.first()
        for number in range(HISTORY_EDITS + 1):
            accepted = await desk.edit(
                _weighted("vestry", 2.0 + number), version, f"n{number}"
            )
            version = accepted.version
        with self.assertRaises(TableConflictError) as raised:
            await desk.edit(_weighted("harbour", 3.0), base, "old")
        conflict = raised.exception.conflict
        self.assertIsNone(conflict.yours)
        self.assertTrue(conflict.overlaps)
        self.assertEqual(len(conflict.theirs), HISTORY_EDITS)

    @trio_test
    async def test_stale_read_is_no_conflict(self) -> None:
        """The platform serves an old version of the table to the edit.

        Taken for the newest, it would refuse an edit that was made on the
        version the operator really saw.
        """
        desk = _Desk()
        await desk.first()
        base = (await desk.edit(_weighted("vestry", 2.0), 1, "e1")).version
        desk.fake.set_faults(PlatformFaults(stale_revisions=1))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_clear_faults, desk, 500.0)
            await desk.edit(_weighted("vestry", 4.0), base, "e2")
        self.assertEqual((await desk.weights())["vestry"], 4.0)


class LostAnswerTest(unittest.TestCase):
    """The answer of an edit's write is lost."""

    async def _edit_with(self, faults: PlatformFaults, *, clear_ms: float) -> _Desk:
        desk = _Desk()
        base = await desk.first()
        desk.fake.set_faults(faults)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_clear_faults, desk, clear_ms)
            self.accepted = await desk.edit(_weighted("vestry", 2.0), base)
        return desk

    @trio_test
    async def test_written_and_answer_lost(self) -> None:
        """A write takes effect and its answer is lost.

        Told that it failed, the operator would make the edit again, or
        believe that the old table holds. It is found by its id and accepted.
        """
        faults = PlatformFaults(lose_answers_fraction=1.0)
        desk = await self._edit_with(faults, clear_ms=50.0)
        self.assertEqual((await desk.weights())["vestry"], 2.0)
        self.assertEqual(await desk.edit_ids(), ["e0", "e1"])
        self.assertEqual(self.accepted.version, 2)

    @trio_test
    async def test_request_lost(self) -> None:
        faults = PlatformFaults(lose_requests_fraction=1.0)
        desk = await self._edit_with(faults, clear_ms=50.0)
        self.assertEqual((await desk.weights())["vestry"], 2.0)
        self.assertEqual(await desk.edit_ids(), ["e0", "e1"])

    @trio_test
    async def test_late_write_cannot_undo_a_later_edit(self) -> None:
        """A write is lost, sent again and accepted; then the first one lands.

        Another operator has edited in between. If the late write still took
        effect, that accepted edit would vanish. It is conditional on a
        version that is gone, and is refused.
        """
        faults = PlatformFaults(late_writes_fraction=1.0, late_write_ms=5000.0)
        desk = await self._edit_with(faults, clear_ms=50.0)
        table = _weighted("harbour", 7.0, _weighted("vestry", 2.0))
        await desk.edit(table, self.accepted.version, "e2")
        await desk.clock.sleep_ms(10_000.0)
        self.assertEqual(await desk.weights(), {"vestry": 2.0, "harbour": 7.0})
        self.assertEqual(await desk.edit_ids(), ["e0", "e1", "e2"])

    @trio_test
    async def test_late_write_that_lands_before_the_second_try(self) -> None:
        faults = PlatformFaults(late_writes_fraction=1.0, late_write_ms=20.0)
        desk = await self._edit_with(faults, clear_ms=10.0)
        self.assertEqual(await desk.edit_ids(), ["e0", "e1"])
        self.assertEqual((await desk.weights())["vestry"], 2.0)

    @trio_test
    async def test_lost_request_overtaken_by_another_is_a_conflict(self) -> None:
        """A write is lost for good, and another operator's edit lands.

        The version that the lost write replaces is gone, so that it can never
        take effect: the operator is told so, and not that it is unknown.
        """
        desk = _Desk()
        base = await desk.first()
        desk.fake.set_faults(PlatformFaults(lose_requests_fraction=1.0))

        async def overtake() -> None:
            await desk.clock.sleep_ms(50.0)
            desk.fake.set_faults(PlatformFaults())
            await desk.edit(_weighted("harbour", 3.0), base, "other")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(overtake)
            with self.assertRaises(TableConflictError):
                await desk.edit(_weighted("vestry", 2.0), base, "e1")
        self.assertEqual(await desk.weights(), {"vestry": 1.0, "harbour": 3.0})

    @trio_test
    async def test_outcome_stays_unknown_in_an_outage(self) -> None:
        """The answer is lost and the platform then stays out.

        Neither "accepted" nor "refused" would be true. The edit says that it
        does not know; sent again with its id afterwards, it is accepted and
        stands once.
        """
        desk = _Desk()
        base = await desk.first()
        desk.fake.set_faults(PlatformFaults(lose_answers_fraction=1.0))

        async def go_out() -> None:
            await desk.clock.sleep_ms(50.0)
            desk.fake.set_faults(PlatformFaults(outage=Outage.HANG))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(go_out)
            with self.assertRaises(IbisfrontError) as raised:
                await desk.edit(_weighted("vestry", 2.0), base, "e1")
        self.assertIs(raised.exception.kind, ErrorKind.WRITE_UNKNOWN)
        desk.fake.set_faults(PlatformFaults())
        accepted = await desk.edit(_weighted("vestry", 2.0), base, "e1")
        self.assertEqual(accepted.version, 2)
        self.assertEqual(await desk.edit_ids(), ["e0", "e1"])

    @trio_test
    async def test_nothing_written_in_an_outage_is_said(self) -> None:
        desk = _Desk()
        base = await desk.first()
        desk.fake.set_faults(PlatformFaults(outage=Outage.REFUSE))
        with self.assertRaises(IbisfrontError) as raised:
            await desk.edit(_weighted("vestry", 2.0), base)
        self.assertIs(raised.exception.kind, ErrorKind.PLATFORM_UNAVAILABLE)


class CheckTest(unittest.TestCase):
    """A table that would harm is refused before it is written."""

    @trio_test
    async def test_problems_are_named(self) -> None:
        desk = _Desk()
        cases = {
            "has weight 0": (Row("vestry", "name-check", weight=0.0),),
            "has weight nan": (Row("vestry", "name-check", weight=float("nan")),),
            "has limit_per_s -1": (Row("vestry", "name-check", limit_per_s=-1.0),),
            "has max_in_flight 0": (Row("vestry", "name-check", max_in_flight=0),),
            "names no purpose": (Row("vestry", "nothing"),),
            "stands twice": (Row("vestry", "name-check"), Row("vestry", "name-check")),
        }
        for words, rows in cases.items():
            with self.subTest(words), self.assertRaises(IbisfrontError) as raised:
                await desk.edit(msgspec.structs.replace(FIRST, rows=rows), 0)
            self.assertIs(raised.exception.kind, ErrorKind.BAD_REQUEST)
            self.assertIn(words, raised.exception.detail)
        self.assertEqual((await read_table(desk.platform)).version, 0)

    @trio_test
    async def test_edit_that_changes_nothing_is_refused(self) -> None:
        desk = _Desk()
        base = await desk.first()
        with self.assertRaises(IbisfrontError) as raised:
            await desk.edit(FIRST, base, "e1")
        self.assertIs(raised.exception.kind, ErrorKind.BAD_REQUEST)

    @trio_test
    async def test_value_that_is_no_table_is_named(self) -> None:
        desk = _Desk()
        await desk.fake.put(ObjectKind.TABLE, TABLE_NAME, [1], if_version=None)
        with self.assertRaises(IbisfrontError) as raised:
            await desk.edit(FIRST, 1)
        self.assertIs(raised.exception.kind, ErrorKind.INTERNAL)


class HistoryTest(unittest.TestCase):
    """The history is bounded, whatever is edited."""

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
        self.assertLessEqual(len(kept), HISTORY_EDITS)
        self.assertLessEqual(len(msgspec.json.encode(kept)), HISTORY_BYTES + 1000)
        self.assertEqual(kept[-1], edits[-1])

    def test_edit_too_large_for_the_history_is_kept_without_its_changes(self) -> None:
        changes = tuple(
            RowChange(after=Row(f"branch-{number}", "name-check"))
            for number in range(2000)
        )
        (kept,) = bounded_history((EditSummary("e", "operator", 0.0, 7, changes),))
        self.assertFalse(kept.whole)
        self.assertEqual(kept.base_version, 7)


async def _clear_faults(desk: _Desk, after_ms: float) -> None:
    await desk.clock.sleep_ms(after_ms)
    desk.fake.set_faults(PlatformFaults())
