"""Search results of a fake backend server, and the log of its runs."""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec

from ibisfront.testing.backend_types import PerformRun, SearchRow, WorkRequest

__all__ = ["RunLog", "search_rows"]

RUN_COUNTS_LIMIT = 50_000
SCORE_SCALE = float(1 << 32)


class RunLog:
    """Records the runs of one server, so that a test can count duplicates.

    Attributes
    ----------
    counts : dict of str to int
        How often a run began, by request id, for the latest ids.
    performed : list of PerformRun
        Every run of a perform request, in order.
    """

    __slots__ = ("counts", "performed")

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self.performed: list[PerformRun] = []

    def add(self, work: WorkRequest) -> None:
        """Record that a request starts to run."""
        count = self.counts.pop(work.request_id, 0)
        self.counts[work.request_id] = count + 1
        if len(self.counts) > RUN_COUNTS_LIMIT:
            del self.counts[next(iter(self.counts))]
        if work.snapshot is None:
            self.performed.append(PerformRun(work.request_id, work.request))


def search_rows(
    service: str, snapshot: str, request: Any, rows: int
) -> list[SearchRow]:
    """Return the rows that every server of a service returns for a search.

    Parameters
    ----------
    service, snapshot : str
        The service and snapshot searched.
    request : Any
        The search; its ``limit``, if present, replaces ``rows``. The rows echo
        its ``marker`` if present, else the whole request.
    rows : int
        Number of rows.
    """
    echo = request
    if isinstance(request, dict):
        echo = request.get("marker", request)
        limit = request.get("limit")
        rows = limit if isinstance(limit, int) else rows
    seed = msgspec.json.encode([service, snapshot, request], order="sorted")
    found = [_row(seed, number, service, snapshot, echo) for number in range(rows)]
    return sorted(found, key=lambda row: (-row.score, row.id))


def _row(seed: bytes, number: int, service: str, snapshot: str, echo: Any) -> SearchRow:
    digest = hashlib.blake2b(seed + number.to_bytes(4), digest_size=8).digest()
    score = int.from_bytes(digest[:4]) / SCORE_SCALE
    return SearchRow(f"{service}-{digest.hex()}", score, service, snapshot, echo)
