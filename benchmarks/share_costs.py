"""Cost of sharing the table's limits: message sizes and the owner's processor time.

Run ``python -m benchmarks.share_costs``. The owner of one bucket handles the
reports of an increasing number of instances, each with demand for some rows.
Lengths are of the frames sent.
"""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

import msgspec
import trio
import trio.testing

from ibisfront.adapters.peer_codec import encode
from ibisfront.core.clock import MILLISECONDS_PER_SECOND, Clock
from ibisfront.core.share_messages import (
    BucketReport,
    RowDemand,
    RowKey,
    Share,
    ShareReport,
    ShareTimes,
)
from ibisfront.core.share_owner import ShareOwner
from ibisfront.core.table import Purpose, Row, Table

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["ShareCost", "main", "measure", "measure_lookup"]

SIZES = ((9, 1), (30, 1), (100, 1), (305, 1), (100, 3), (100, 10))
"""Instances that report to one owner, and rows that each of them requests."""

TABLE_ROWS = (100, 1_000, 3_000)
LOOKUPS = 2_000
ROUNDS = 3
REPORT_MS = ShareTimes().report_ms
MICROSECONDS_PER_SECOND = 1e6
PERCENT = 100.0


class ShareCost(msgspec.Struct, frozen=True):
    """Cost of one bucket to its owner.

    Attributes
    ----------
    instances, rows : int
        Number of reporting instances, and of rows that each requests.
    report_bytes, grants_bytes : int
        Frame sizes of a report of one bucket and of its response.
    handling_us : float
        Processor time to handle one report, without the codec and the stream.
    """

    instances: int
    rows: int
    report_bytes: int
    grants_bytes: int
    handling_us: float

    @property
    def owner_percent(self) -> float:
        """Processor time of the owner for all reports, of one core."""
        reports_per_s = self.instances * MILLISECONDS_PER_SECOND / REPORT_MS
        return PERCENT * reports_per_s * self.handling_us / MICROSECONDS_PER_SECOND


async def measure(
    instances: int, rows: int, mock_clock: trio.testing.MockClock
) -> ShareCost:
    """Measure one owner, with reports evenly spaced in time."""
    table = _table(rows)
    owner = ShareOwner(
        clock=Clock(),
        times=ShareTimes(),
        find_row=lambda key: table.row(key.branch, key.purpose),
        has_table=lambda: True,
    )
    acknowledged = dict.fromkeys(range(instances), 0)
    spent_s = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        for number in range(instances):
            report = _report(table, number, instances, acknowledged[number])
            grants = owner.handle_report(f"instance-{number:05d}", report)
            acknowledged[number] = grants.sequence
            mock_clock.jump(REPORT_MS / instances / MILLISECONDS_PER_SECOND)
        spent_s.append(time.process_time() - started_s)
    return ShareCost(
        instances=instances,
        rows=rows,
        report_bytes=len(encode(report)),
        grants_bytes=len(encode(grants)),
        handling_us=min(spent_s[1:]) / instances * MICROSECONDS_PER_SECOND,
    )


def _report(
    table: Table, number: int, instances: int, acknowledged: int
) -> ShareReport:
    demands = tuple(
        RowDemand(RowKey(row.branch, row.purpose), Share(10.5 + number, 3), 2)
        for row in table.rows
    )
    bucket = BucketReport(3, acknowledged, True, demands)
    return ShareReport(instances, number, (bucket,))


def _table(rows: int) -> Table:
    purpose = Purpose("purpose-01", "search", index="index-001")
    return Table(
        (purpose,),
        tuple(Row(f"branch-{number:04d}", purpose.name) for number in range(rows)),
    )


def measure_lookup(rows: int) -> float:
    """Return the microseconds to look up the middle row of a table."""
    table = _table(rows)
    middle = table.rows[rows // 2]
    return _best_us(lambda: table.row(middle.branch, middle.purpose))


def _best_us(call: Callable[[], object]) -> float:
    spent_s = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        for _ in range(LOOKUPS):
            call()
        spent_s.append(time.process_time() - started_s)
    return min(spent_s) / LOOKUPS * MICROSECONDS_PER_SECOND


def main() -> None:
    """Print the costs."""
    write = sys.stdout.write
    write("instances  rows  report bytes  grants bytes  handle us  owner cpu %\n")
    for instances, rows in SIZES:
        mock_clock = trio.testing.MockClock()
        cost = trio.run(measure, instances, rows, mock_clock, clock=mock_clock)
        write(
            f"{cost.instances:9}  {cost.rows:4}  {cost.report_bytes:12}  "
            f"{cost.grants_bytes:12}  {cost.handling_us:9.1f}  "
            f"{cost.owner_percent:11.2f}\n"
        )
    write("\nrows of the table  us per row lookup\n")
    for rows in TABLE_ROWS:
        write(f"{rows:17}  {measure_lookup(rows):16.1f}\n")


if __name__ == "__main__":
    main()
