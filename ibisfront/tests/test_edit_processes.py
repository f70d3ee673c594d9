"""Tests of edits of the table, with real processes."""

from __future__ import annotations

import unittest

import msgspec
import trio

from ibisfront.adapters.admin import TableView
from ibisfront.core.table import EditSummary
from ibisfront.core.table_edit import TableProposal
from ibisfront.testing.deployment import (
    Deployment,
    InstanceProcess,
    register_shape,
)
from ibisfront.tests import trio_test_real_clock

_TABLE = "/v1/admin/table"
_ROUNDS = 8
_OPERATORS = ("ann", "ben")
_OK = 200
_CONFLICT = 409


class TwoOperatorsTest(unittest.TestCase):
    """Two operators edit through two instances; the platform loses answers."""

    @trio_test_real_clock
    async def test_one_of_two_concurrent_edits_is_accepted_and_kept(self) -> None:
        """An accepted edit is lost or applied twice.

        Two operators edit the same version at the same time, through different
        instances. Answers to the platform's writes are lost, and some writes
        take effect late. An edit whose answer was lost was treated as rejected,
        or a late write replaced the other operator's accepted edit.
        """
        accepted: list[str] = []
        async with Deployment(register_shape(services=1, instances=2)) as deployment:
            await deployment.set_platform_faults(
                lose_answers_fraction=0.4, late_writes_fraction=0.2, late_write_ms=150.0
            )
            for number in range(_ROUNDS):
                accepted.append(await self._edit_concurrently(deployment, number))
            reply = await deployment.admin(
                deployment.instances[0], "GET", f"{_TABLE}/history"
            )
        history = reply.decode(list[EditSummary])
        self.assertEqual([edit.edit_id for edit in history], accepted)

    async def _edit_concurrently(self, deployment: Deployment, number: int) -> str:
        """Submit concurrent edits of one version; return the id of the accepted one."""
        first = deployment.instances[0]
        view = (await deployment.admin(first, "GET", _TABLE)).decode(TableView)
        statuses: dict[str, int] = {}

        async def edit(instance: InstanceProcess, operator: str) -> None:
            proposal = _proposal(view, operator, number)
            reply = await deployment.admin(instance, "PUT", _TABLE, proposal)
            statuses[proposal.edit_id] = reply.status

        async with trio.open_nursery() as nursery:
            for instance, operator in zip(
                deployment.instances, _OPERATORS, strict=True
            ):
                nursery.start_soon(edit, instance, operator)
        self.assertEqual(sorted(statuses.values()), [_OK, _CONFLICT], statuses)
        return next(name for name, status in statuses.items() if status == _OK)


def _proposal(view: TableView, operator: str, number: int) -> TableProposal:
    """Return an edit of the row that belongs to the operator."""
    rows = list(view.table.rows)
    index = _OPERATORS.index(operator)
    rows[index] = msgspec.structs.replace(rows[index], weight=2.0 + number)
    return TableProposal(
        table=msgspec.structs.replace(view.table, rows=tuple(rows)),
        base_version=view.version,
        edit_id=f"edit-{operator}-{number}",
        edited_by=operator,
    )
