"""Settings, faults, counts and replies of a fake backend server."""

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
    "LoadReport",
    "LoadReportFault",
    "NotRun",
    "PerformResult",
    "PerformRun",
    "SearchResult",
    "SearchRow",
    "WorkRejected",
    "WorkRequest",
]


class BackendSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Capacity and service times of one fake backend server.

    Attributes
    ----------
    slots : int
        Number of requests that run concurrently.
    queue_limit : int
        Queued requests above which further ones are shed.
    connection_limit : int
        Open connections above which further ones are refused.
    accept_ms : float
        Duration of an accept; connections are accepted one at a time.
    service_median_ms : float
        Median of the log-normal service time.
    service_sigma : float
        Standard deviation of the service time's logarithm.
    retry_after_ms : int
        The ``Retry-After-Ms`` of a rejection.
    rows : int
        Rows that a search returns if its request has no ``limit``.
    seed : int
        Seed of the service times and of the faults given as fractions.
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
    """How a server handles requests while it is cold."""

    REFUSE = "refuse"
    SLOW = "slow"


class LoadReportFault(StrEnum):
    """How ``/load`` misreports the load."""

    NONE = "none"
    IDLE = "idle"
    BUSY = "busy"


class CrashPoint(StrEnum):
    """When a request with the crash marker crashes the server."""

    BEFORE_RUNNING = "before_running"
    AFTER_RUNNING = "after_running"


class NotRun(StrEnum):
    """Why a request was rejected before it ran (``X-Not-Run``)."""

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
        New requests are rejected and replies are marked as draining; running
        requests continue.
    shedding : bool
        All requests are shed.
    frozen : bool
        While set, nothing is accepted, read or answered.
    cold_ms : float
        Duration of the cold phase after a start.
    cold_start : ColdStart
        Whether a cold server rejects requests or runs them slowly.
    cold_slow_factor : float
        Factor on the service time while cold.
    load_lag_ms : float
        Age up to which a load report is reused.
    load_lie : LoadReportFault
        What the load report states instead of the actual load.
    straggle_fraction, straggle_factor : float
        The fraction of requests that take longer, and the factor on their
        service time.
    fail_fraction : float
        The fraction of requests that run and fail (500).
    lose_answer_fraction : float
        The fraction of replies lost: the connection closes instead.
    wrong_id_fraction : float
        The fraction of replies that echo a wrong request id but are otherwise
        correct.
    crossed_answer_fraction : float
        The fraction of replies replaced entirely by the previous reply.
    late_answer_fraction, late_answer_ms : float
        The fraction of replies delayed after the run, and the delay.
    duplicate_answer_fraction : float
        The fraction of replies sent twice.
    crash_marker : str or None
        A request whose body contains this text crashes the server.
    crash_point : CrashPoint
        Whether such a request runs before the crash.
    crash_down_ms : float
        Downtime after a crash.
    """

    draining: bool = False
    shedding: bool = False
    frozen: bool = False
    cold_ms: float = 0.0
    cold_start: ColdStart = ColdStart.REFUSE
    cold_slow_factor: float = 10.0
    load_lag_ms: float = 0.0
    load_lie: LoadReportFault = LoadReportFault.NONE
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
        The requested service.
    request : Any
        The request itself; any JSON value.
    request_id : str
        The sub-request's id.
    deadline_ms : float or None
        The remaining time budget, if any.
    snapshot : str or None
        The snapshot to search; None for ``/perform``.
    """

    service: str
    request: Any
    request_id: str = ""
    deadline_ms: float | None = None
    snapshot: str | None = None


class SearchRow(msgspec.Struct, frozen=True):
    """One row of a search result.

    Attributes
    ----------
    id : str
        The row's id, unique over all services.
    score : float
        From 0 to 1; rows are sorted best first.
    service, snapshot : str
        The service and snapshot that the row comes from.
    request : Any
        The request's ``marker`` if it has one, else the whole request.
    """

    id: str
    score: float
    service: str
    snapshot: str
    request: Any


class SearchResult(msgspec.Struct, frozen=True):
    """The body of a successful search reply."""

    snapshot: str
    rows: list[SearchRow]


class PerformResult(msgspec.Struct, frozen=True):
    """The body of a successful perform reply."""

    result: Any


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of a rejection or failure."""

    error: str


class BackendReply(msgspec.Struct, frozen=True, kw_only=True):
    """One reply: status, headers and body.

    Attributes
    ----------
    status : int
        The HTTP status.
    body : SearchResult or PerformResult or ErrorBody
        The JSON body.
    request_id : str
        The echoed request id.
    snapshots : tuple of str
        The snapshots held, newest last.
    draining : bool
        Whether the server is draining.
    not_run : NotRun or None
        Why the request did not run, for a 503.
    retry_after_ms : int or None
        When to retry, for a 503.
    copies : int
        Number of times the reply is sent.
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
    """One run of a perform request, recorded when it starts.

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
    """Counters of one backend server since its creation.

    Attributes
    ----------
    runs : int
        Requests that started to run.
    answered, failed : int
        Requests answered with 200 and 500.
    cancelled : int
        Requests whose callers disconnected before the reply.
    deadline_exceeded : int
        Requests abandoned at their deadline.
    shed, refused_draining, refused_cold, refused_snapshot, refused_bad : int
        Requests rejected before they ran, by reason.
    crashes : int
        Crashes.
    in_flight_peak, queued_peak : int
        Peak numbers of running and of queued requests.
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
    """State of one backend server, except its runs.

    Attributes
    ----------
    name, service : str
        The server's name and service.
    in_flight, queued : int
        Requests that run and that wait for a slot.
    snapshots : tuple of str
        The snapshots held, newest last.
    counts : BackendCounts
        Counters since creation.
    faults : BackendFaults
        The active faults.
    """

    name: str
    service: str
    in_flight: int
    queued: int
    snapshots: tuple[str, ...]
    counts: BackendCounts
    faults: BackendFaults


class ConnectionLost(Exception):
    """The connection was lost before a reply."""


class WorkRejected(Exception):
    """Ends a request with a reply other than 200.

    Parameters
    ----------
    status : HTTPStatus
        The reply's status.
    error : str
        The error in the reply's body.
    not_run : NotRun, optional
        Why the request did not run, for a 503.
    """

    def __init__(
        self, status: HTTPStatus, error: str, not_run: NotRun | None = None
    ) -> None:
        super().__init__(error)
        self.status = status
        self.error = error
        self.not_run = not_run
