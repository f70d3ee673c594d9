"""Memory and processor time of the state of an instance, by kind.

Run ``python -m benchmarks.state_sizes``. Sizes are Python allocations
(``tracemalloc``) or the length of an encoded value; both vary by a few bytes
between runs. Processor time is measured separately, without tracing.
"""

from __future__ import annotations

import gc
import sys
import time
import tracemalloc
from functools import partial
from typing import TYPE_CHECKING, TypeVar

import msgspec
from hdrh.histogram import HdrHistogram

from ibisfront.adapters.peer_codec import encode
from ibisfront.core.catalogue import Catalogue
from ibisfront.core.claim import AttemptId, ClaimRecord, ClaimState
from ibisfront.core.dissemination import ObjectsChanged
from ibisfront.core.heartbeat import Heartbeat
from ibisfront.core.latency import LatencyHistogram
from ibisfront.core.ledger_bucket import OBJECT_CLAIM_LIMIT_BYTES, Bucket
from ibisfront.core.objects import ObjectKind, ObjectStore, VersionedObject
from ibisfront.core.service import BackendServer, Service
from ibisfront.core.service_state import RecentLatency, ServiceState
from ibisfront.core.settings import QuerySettings
from ibisfront.core.snapshot import Index, Snapshot
from ibisfront.core.table import (
    TABLE_NAME,
    EditSummary,
    Purpose,
    Row,
    RowChange,
    Table,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

__all__ = ["ItemSize", "ObjectsCost", "main", "measure_objects", "size_of_each"]

SERVICES = 17_500
SERVERS_PER_SERVICE = 2
FAN_OUT = 180
INDEXES = SERVICES // FAN_OUT
SNAPSHOTS_PER_INDEX = 3
TABLE_ROWS = (1_000, 3_000, 6_000)
PURPOSES = 30
ZONES = 19
MERGE_ROUNDS = 3
LEDGER_RECORDS = 1_000
SAMPLES = 200
MAXIMUM_DURATION_US = 60_000_000
MICROSECONDS_PER_SECOND = 1e6

_Value = TypeVar("_Value")


class ObjectsCost(msgspec.Struct, frozen=True):
    """Cost of a set of objects to the instance that stores them.

    Attributes
    ----------
    name : str
        Name of the set.
    count : int
        Number of objects.
    value_bytes : int
        Size of their values as stored on the platform.
    state_bytes : int
        Memory allocated for them by the store and the catalogue.
    merge_us : float
        Processor time to merge one, in the best round.
    """

    name: str
    count: int
    value_bytes: int
    state_bytes: int
    merge_us: float


class ItemSize(msgspec.Struct, frozen=True):
    """Mean size of one of many similar items."""

    name: str
    size_bytes: float


def measure_objects(
    name: str, make_objects: Callable[[], Sequence[VersionedObject]]
) -> ObjectsCost:
    """Measure the store and the catalogue with a set of objects."""
    objects = make_objects()
    spent_s = []
    for _ in range(MERGE_ROUNDS):
        started_s = time.process_time()
        _load(objects)
        spent_s.append(time.process_time() - started_s)
    values = [item.value_json or b"" for item in objects]
    return ObjectsCost(
        name=name,
        count=len(objects),
        value_bytes=sum(map(len, values)),
        state_bytes=_allocated_by(lambda: _load(make_objects())),
        merge_us=min(spent_s) / len(objects) * MICROSECONDS_PER_SECOND,
    )


def _load(objects: Sequence[VersionedObject]) -> tuple[ObjectStore, Catalogue]:
    store = ObjectStore()
    catalogue = Catalogue(store)
    store.merge(objects)
    return store, catalogue


def _allocated_by(make: Callable[[], _Value]) -> int:
    gc.collect()
    tracemalloc.start()
    value = make()
    gc.collect()
    allocated_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del value
    return allocated_bytes


def size_of_each(name: str, make: Callable[[], object]) -> ItemSize:
    """Return the mean size of values created alike."""
    return ItemSize(
        name, _allocated_by(lambda: [make() for _ in range(SAMPLES)]) / SAMPLES
    )


def _services() -> list[VersionedObject]:
    return [_service(number) for number in range(SERVICES)]


def _service(number: int) -> VersionedObject:
    servers = tuple(
        BackendServer(
            name=f"server-{number:05d}-{replica}",
            address=f"10.{replica}.{number // 250}.{number % 250}:8000",
            zone=f"zone-{(number + replica) % ZONES:02d}",
        )
        for replica in range(SERVERS_PER_SERVICE)
    )
    return _object(ObjectKind.SERVICE, f"service-{number:05d}", Service(servers))


def _indexes() -> list[VersionedObject]:
    return [_index(number) for number in range(INDEXES)]


def _index(number: int) -> VersionedObject:
    first = number * FAN_OUT
    services = tuple(f"service-{first + offset:05d}" for offset in range(FAN_OUT))
    snapshots = tuple(
        Snapshot(f"snapshot-{offset}", services)
        for offset in range(SNAPSHOTS_PER_INDEX)
    )
    return _object(ObjectKind.INDEX, f"index-{number:03d}", Index(snapshots))


def _tables(rows: int) -> list[VersionedObject]:
    purposes = tuple(
        Purpose(f"purpose-{number:02d}", "search", index=f"index-{number:03d}")
        for number in range(PURPOSES)
    )
    table = Table(
        purposes,
        tuple(
            Row(f"branch-{number // PURPOSES:04d}", purposes[number % PURPOSES].name)
            for number in range(rows)
        ),
    )
    return [_object(ObjectKind.TABLE, TABLE_NAME, table)]


def _object(kind: ObjectKind, name: str, value: object) -> VersionedObject:
    return VersionedObject(kind, name, 1, msgspec.json.encode(value))


def _record_bytes(state: ClaimState, result_json: str | None = None) -> float:
    records = {
        f"0193a5c0-{number:04x}-7000-8000-0123456789ab": ClaimRecord(
            fingerprint="0123456789abcdef01234567",
            attempt=AttemptId("i-000123", "0123456789abcdef", number),
            state=state,
            result_json=result_json,
        )
        for number in range(LEDGER_RECORDS)
    }
    return len(msgspec.json.encode(Bucket(1, records))) / LEDGER_RECORDS


def _item_sizes() -> list[ItemSize]:
    settings = QuerySettings()
    index_latency = RecentLatency(settings)
    change = ObjectsChanged(1, 2, 2, (_service(1),))
    return [
        size_of_each("latency histogram, 2 digits, a row", LatencyHistogram),
        size_of_each(
            "the same with 1 digit", lambda: HdrHistogram(1, MAXIMUM_DURATION_US, 1)
        ),
        size_of_each(
            "latencies of one service",
            lambda: ServiceState(settings, index_latency=index_latency),
        ),
        ItemSize("heartbeat, frame", len(encode(Heartbeat(1_000_000, 1 << 60)))),
        ItemSize("changed service, frame", len(encode(change))),
        ItemSize("edit of one row, JSON", len(msgspec.json.encode(_edit()))),
        ItemSize("ledger record, claimed", _record_bytes(ClaimState.CLAIMED)),
        ItemSize("ledger record, ran", _record_bytes(ClaimState.RAN, '{"result":1}')),
        ItemSize("ledger object at most", OBJECT_CLAIM_LIMIT_BYTES),
    ]


def _edit() -> EditSummary:
    before = Row("branch-0001", "purpose-01")
    change = RowChange(before=before, after=msgspec.structs.replace(before, weight=2.0))
    return EditSummary(
        "0193a5c000007000", "operator", 1_764_700_000_000.0, 1, (change,)
    )


def _object_costs() -> list[ObjectsCost]:
    tables = [
        measure_objects(f"table of {rows} rows", partial(_tables, rows))
        for rows in TABLE_ROWS
    ]
    return [
        measure_objects("services", _services),
        measure_objects("indexes", _indexes),
        *tables,
    ]


def main() -> None:
    """Print the sizes."""
    write = sys.stdout.write
    write("objects                 count  value KiB  state KiB  merge us each\n")
    for cost in _object_costs():
        write(
            f"{cost.name:20} {cost.count:8}  {cost.value_bytes / 1024:9.1f}  "
            f"{cost.state_bytes / 1024:9.1f}  {cost.merge_us:13.1f}\n"
        )
    write("\neach                                     bytes\n")
    for item in _item_sizes():
        write(f"{item.name:36} {item.size_bytes:9.1f}\n")


if __name__ == "__main__":
    main()
