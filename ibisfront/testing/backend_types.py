"""The settings, faults, counts and replies of a backend server's stand-in."""

from __future__ import annotations

from enum import StrEnum
from http import HTTPStatus
from typing import Any

import msgspec

__all__ = [
    "BackendCounts",
    "BackendFaults",
    "BackendReply",
    "BackendSettings",
    "BackendState",
    "ColdStart",
    "ConnectionLost",
    "CrashPoint",
    "LoadLie",
    "LoadReport",
    "NotRun",
    "PerformResult",
    "PerformRun",
    "SearchResult",
    "SearchRow",
    "WorkRefused",
    "WorkRequest",
]


class BackendSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """The size and speed of one backend server.

    Attributes
    ----------
    slots : int
        How many requests run at once.
    queue_limit : int
        How many may wait for a slot before more are shed.
    connection_limit : int
        How many connections may be open before more are refused.
    accept_ms : float
        The cost of a new connection; one is accepted at a time.
    service_median_ms : float
        The median of the service time, which is log-normal.
    service_sigma : float
        The spread of the service time's logarithm; 0 for none.
    retry_after_ms : int
        The advice of a refusal.
    rows : int
        How many rows a search returns, if its request has no ``limit``.
    seed : int
        Decides the service times and which requests a fault of a fraction hits.
    """

    slots: int = 2
    queue_limit: int = 8
    connection_limit: int = 25
    accept_ms: float = 6.0
    service_median_ms: float = 5.0
    service_sigma: float = 0.3
    retry_after_ms: int = 100
    rows: int = 5
    seed: int = 0


class ColdStart(StrEnum):
    """What a server does with requests while it is cold."""

    REFUSE = "refuse"
    SLOW = "slow"


class LoadLie(StrEnum):
    """What ``/load`` says."""

    NONE = "none"
    IDLE = "idle"
    BUSY = "busy"


class CrashPoint(StrEnum):
    """When a request with the crash marker crashes the server."""

    BEFORE_RUNNING = "before_running"
    AFTER_RUNNING = "after_running"


class NotRun(StrEnum):
    """Why a request was refused unrun (``X-Not-Run``)."""

    SHED = "shed"
    DRAINING = "draining"
    COLD = "cold"


class BackendFaults(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """The faults of one backend server, all off by default.

    Attributes
    ----------
    draining : bool
        Requests are refused, and replies say so; what runs goes on.
    shedding : bool
        All requests are shed.
    frozen : bool
        Nothing is accepted, read or answered until it is off again.
    cold_ms : float
        How long the server is cold after a start.
    cold_start : ColdStart
        Whether it refuses while cold or is slow.
    cold_slow_factor : float
        By how much it is slow.
    load_lag_ms : float
        How old a load report may be.
    load_lie : LoadLie
        What the load report says in place of the truth.
    straggle_fraction, straggle_factor : float
        The share of requests that take longer, and by how much.
    fail_fraction : float
        The share of requests that run and fail (500).
    lose_answer_fraction : float
        The share of answers lost: the connection closes in place of it.
    wrong_id_fraction : float
        The share of replies that echo another request's id, the rest being
        right.
    crossed_answer_fraction : float
        The share of replies replaced as a whole by the reply before.
    late_answer_fraction, late_answer_ms : float
        The share of answers held back after the run, and for how long.
    duplicate_answer_fraction : float
        The share of answers sent twice.
    crash_marker : str or None
        A request whose body has it crashes the server.
    crash_point : CrashPoint
        Whether such a request runs before the crash.
    crash_down_ms : float
        How long the server is down before it starts again.
    """

    draining: bool = False
    shedding: bool = False
    frozen: bool = False
    cold_ms: float = 0.0
    cold_start: ColdStart = ColdStart.REFUSE
    cold_slow_factor: float = 10.0
    load_lag_ms: float = 0.0
    load_lie: LoadLie = LoadLie.NONE
    straggle_fraction: float = 0.0
    straggle_factor: float = 10.0
    fail_fraction: float = 0.0
    lose_answer_fraction: float = 0.0
    wrong_id_fraction: float = 0.0
    crossed_answer_fraction: float = 0.0
    late_answer_fraction: float = 0.0
    late_answer_ms: float = 0.0
    duplicate_answer_fraction: float = 0.0
    crash_marker: str | None = None
    crash_point: CrashPoint = CrashPoint.BEFORE_RUNNING
    crash_down_ms: float = 1000.0


class WorkRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One request to ``/search`` or ``/perform``.

    Attributes
    ----------
    service : str
        The service asked.
    request : Any
        The request itself, any JSON value.
    request_id : str
        The sub-request's id.
    deadline_ms : float or None
        The remaining budget, if any.
    snapshot : str or None
        The snapshot to search; None for ``/perform``.
    """

    service: str
    request: Any
    request_id: str = ""
    deadline_ms: float | None = None
    snapshot: str | None = None


class SearchRow(msgspec.Struct, frozen=True):
    """One row of a search's result.

    Attributes
    ----------
    id : str
        The row's id, unique over all services.
    score : float
        From 0 to 1, the best row first.
    service, snapshot : str
        Where the row is from.
    request : Any
        The request's ``marker`` if it has one, else the whole request.
    """

    id: str
    score: float
    service: str
    snapshot: str
    request: Any


class SearchResult(msgspec.Struct, frozen=True):
    """The body of an answered search."""

    snapshot: str
    rows: list[SearchRow]


class PerformResult(msgspec.Struct, frozen=True):
    """The body of an answered perform request."""

    result: Any


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of a refusal or failure."""

    error: str


class BackendReply(msgspec.Struct, frozen=True, kw_only=True):
    """One reply, as its status line, headers and body say it.

    Attributes
    ----------
    status : int
        The HTTP status.
    body : SearchResult or PerformResult or ErrorBody
        The JSON body.
    request_id : str
        The echoed id.
    snapshots : tuple of str
        The snapshots held, newest last.
    draining : bool
        Whether the server drains.
    not_run : NotRun or None
        Why it did not run, for a 503.
    retry_after_ms : int or None
        When to come back, for a 503.
    copies : int
        How often the reply is sent.
    """

    status: int
    body: SearchResult | PerformResult | ErrorBody
    request_id: str
    snapshots: tuple[str, ...]
    draining: bool
    not_run: NotRun | None = None
    retry_after_ms: int | None = None
    copies: int = 1


class LoadReport(msgspec.Struct, frozen=True):
    """The body of ``/load``."""

    in_flight: int
    slots: int
    draining: bool
    snapshots: tuple[str, ...]


class PerformRun(msgspec.Struct, frozen=True):
    """One run of a perform request, counted when it begins.

    Attributes
    ----------
    request_id : str
        The sub-request's id.
    request : Any
        The request itself.
    """

    request_id: str
    request: Any


class BackendCounts(msgspec.Struct):
    """What one backend server has counted since it was made.

    Attributes
    ----------
    runs : int
        The requests that began to run.
    answered, failed : int
        The requests answered with 200 and 500.
    cancelled : int
        The requests whose callers went away before the answer.
    deadline_exceeded : int
        The requests given up at their deadline.
    shed, refused_draining, refused_cold, refused_snapshot, refused_bad : int
        The requests refused unrun.
    crashes : int
        The crashes.
    in_flight_peak, queued_peak : int
        The most requests that ran and waited at once.
    """

    runs: int = 0
    answered: int = 0
    failed: int = 0
    cancelled: int = 0
    deadline_exceeded: int = 0
    shed: int = 0
    refused_draining: int = 0
    refused_cold: int = 0
    refused_snapshot: int = 0
    refused_bad: int = 0
    crashes: int = 0
    in_flight_peak: int = 0
    queued_peak: int = 0


class BackendState(msgspec.Struct, frozen=True, kw_only=True):
    """What a test can read of one backend server, besides its runs.

    Attributes
    ----------
    name, service : str
        The server.
    in_flight, queued : int
        The requests that run and that wait for a slot.
    snapshots : tuple of str
        The snapshots held, newest last.
    counts : BackendCounts
        What it has counted.
    faults : BackendFaults
        The faults as set.
    """

    name: str
    service: str
    in_flight: int
    queued: int
    snapshots: tuple[str, ...]
    counts: BackendCounts
    faults: BackendFaults


class ConnectionLost(Exception):
    """The connection was lost in place of an answer."""


class WorkRefused(Exception):
    """Ends a request with a reply other than 200.

    Parameters
    ----------
    status : HTTPStatus
        The reply's status.
    error : str
        What the reply's body says.
    not_run : NotRun, optional
        Why it did not run, for a 503.
    """

    def __init__(
        self, status: HTTPStatus, error: str, not_run: NotRun | None = None
    ) -> None:
        super().__init__(error)
        self.status = status
        self.error = error
        self.not_run = not_run
