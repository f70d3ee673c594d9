"""Guarantees of the front daemon, checked against what callers and servers recorded."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.task_guard import UNEXPECTED_ERROR
from ibisfront.testing.soak.callers import RequestPath
from ibisfront.testing.soak.servers import part_records, signature

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from ibisfront.testing.soak.callers import Outcome
    from ibisfront.testing.soak.servers import Execution, ServerRecords

__all__ = [
    "ExtraWindow",
    "Failure",
    "Shape",
    "Span",
    "check_budget",
    "check_crashes",
    "check_drained",
    "check_errors",
    "check_late_copies",
    "check_orders",
    "check_responses",
    "check_stops",
    "check_versions",
    "extra_windows",
]

_OK = 200
_TOLERATED_CRASHES = 3
_TOLERATED_COPIES = 3
"""Copies of a crashing request that may reach servers after the third crash."""
_NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
_MAX_LINE_CHARACTERS = 600
_STAMPS_HEADER = b"x-shard-stamps"
_MISSING_HEADER = b"x-shards-missing"
_STAMP_HEADER = b"x-backend-stamp"


class Failure(msgspec.Struct, frozen=True):
    """A violated guarantee."""

    check: str
    request_id: str
    detail: str


class Shape(msgspec.Struct, frozen=True):
    """Services and search parameters common to the configurations of a run.

    Attributes
    ----------
    generations : tuple of tuple of str
        Services of a search by generation; each repartition starts a new one.
    top_count : int
        Number of records that a search returns.
    minimum_coverage : float
        Minimum fraction of the services that must respond.
    fetch, order : str
        Services of the other two routes.
    """

    generations: tuple[tuple[str, ...], ...]
    top_count: int = 6
    minimum_coverage: float = 0.5
    fetch: str = "fetch"
    order: str = "order"

    def requested_ms(self, outcomes: Iterable[Outcome]) -> dict[str, list[float]]:
        """Return when callers sent requests for each service, in order."""
        by_path: dict[RequestPath, list[float]] = {path: [] for path in RequestPath}
        for outcome in outcomes:
            by_path[outcome.path].append(outcome.sent_at_ms)
        for sent_ms in by_path.values():
            sent_ms.sort()
        services = {name for names in self.generations for name in names}
        searched_ms = [*by_path[RequestPath.SEARCH], *by_path[RequestPath.CRASH]]
        searched_ms.sort()
        fetched_ms = [*by_path[RequestPath.FETCH], *by_path[RequestPath.OPEN]]
        fetched_ms.sort()
        return {
            **dict.fromkeys(services, searched_ms),
            self.fetch: fetched_ms,
            self.order: by_path[RequestPath.ORDER],
        }


class Span(msgspec.Struct, frozen=True):
    """A time span in which a fault or a stop affected a front process.

    Attributes
    ----------
    front : str
        Front process with its incarnation.
    from_ms, until_ms : float
        Start and end.
    """

    front: str
    from_ms: float
    until_ms: float

    def overlaps(self, outcome: Outcome) -> bool:
        """Return whether a request to the front was in flight in the span."""
        is_same = outcome.front == self.front
        return (
            is_same
            and outcome.sent_at_ms <= self.until_ms
            and outcome.ended_at_ms >= self.from_ms
        )


def check_responses(outcomes: Iterable[Outcome], shape: Shape) -> list[Failure]:
    """Check that each success belongs to its request, is complete and correct."""
    failures = []
    for outcome in outcomes:
        detail = ""
        if outcome.status == -1:
            detail = f"malformed response: {outcome.error}"
        elif outcome.status == _OK:
            detail = _response_error(outcome, shape)
        if detail:
            failures.append(Failure("answers", outcome.request_id, detail))
    return failures


def _response_error(outcome: Outcome, shape: Shape) -> str:
    """Return what is wrong with a success; empty if it is correct."""
    if outcome.path in (RequestPath.SEARCH, RequestPath.CRASH):
        return _search_error(outcome, shape)
    service = shape.order if outcome.path is RequestPath.ORDER else shape.fetch
    stamp = outcome.headers.get(_STAMP_HEADER, b"").decode()
    if stamp != signature(service, outcome.request_id):
        return f"signed {stamp!r}"
    if outcome.body != b"".join(part_records(service, outcome.request_id)):
        return "body differs from the server's"
    return ""


def _search_error(outcome: Outcome, shape: Shape) -> str:
    services = _answered_services(outcome)
    if len(set(services)) != len(services):
        return "duplicate service"
    generation = generation_of(outcome, shape)
    if generation is None:
        return f"parts of no single version: {services}"
    total = len(shape.generations[generation])
    missing = int(outcome.headers.get(_MISSING_HEADER, b"0"))
    if len(services) + missing != total:
        return f"{len(services)} parts and {missing} missing of {total}"
    if len(services) < shape.minimum_coverage * total:
        return f"only {len(services)} of {total}"
    records = [r for name in services for r in part_records(name, outcome.request_id)]
    expected = b"".join(sorted(records, reverse=True)[: shape.top_count])
    return "" if outcome.body == expected else "not the top records of its parts"


def _answered_services(outcome: Outcome) -> list[str]:
    """Return the services named by a response's stamps; invalid stamps unchanged."""
    stamps = outcome.headers.get(_STAMPS_HEADER, b"").decode().split(",")
    ending = f".{outcome.request_id}"
    return [stamp.strip().removesuffix(ending) for stamp in stamps if stamp.strip()]


def generation_of(outcome: Outcome, shape: Shape) -> int | None:
    """Return the generation that contains all parts of a response, if any."""
    answered = set(_answered_services(outcome))
    for number, services in enumerate(shape.generations):
        if answered and answered <= set(services):
            return number
    return None


def check_orders(
    outcomes: Iterable[Outcome], executions: Iterable[Execution]
) -> list[Failure]:
    """Check that orders run at most once, and never after a "not run" status."""
    runs = Counter(item.request_id for item in executions)
    failures = []
    for outcome in outcomes:
        run_count = runs[outcome.request_id]
        if outcome.path is not RequestPath.ORDER:
            continue
        if run_count > 1:
            failures.append(
                Failure("once", outcome.request_id, f"ran {run_count} times")
            )
        if outcome.status in _NOT_EXECUTED_STATUSES and run_count:
            detail = f"answered {outcome.status} and ran"
            failures.append(Failure("not run", outcome.request_id, detail))
    return failures


def check_versions(outcomes: Iterable[Outcome], shape: Shape) -> list[Failure]:
    """Check that the configuration version never decreases within one process.

    The services of a response reveal its version. A request sent after a
    response was received must not use an older version.
    """
    by_front: dict[str, list[tuple[Outcome, int]]] = defaultdict(list)
    for outcome in outcomes:
        if outcome.path is RequestPath.SEARCH and outcome.status == _OK:
            generation = generation_of(outcome, shape)
            if generation is not None:
                by_front[outcome.front].append((outcome, generation))
    return [
        failure for seen in by_front.values() for failure in _version_regressions(seen)
    ]


def _version_regressions(seen: list[tuple[Outcome, int]]) -> list[Failure]:
    ended = sorted(seen, key=lambda item: item[0].ended_at_ms)
    failures = []
    for outcome, generation in seen:
        earlier = [
            earlier_generation
            for other, earlier_generation in ended
            if other.ended_at_ms < outcome.sent_at_ms
        ]
        if earlier and max(earlier) > generation:
            detail = f"generation {generation} after {max(earlier)}"
            failures.append(Failure("versions", outcome.request_id, detail))
    return failures


def check_drained(
    executions: Iterable[Execution], outcomes: Iterable[Outcome], drained: Sequence[str]
) -> list[Failure]:
    """Check that no request reached a server drained before it was sent.

    Parameters
    ----------
    executions : iterable of Execution
        Requests that servers executed.
    outcomes : iterable of Outcome
        Requests sent well after the servers were drained.
    drained : sequence of str
        Ids of the drained servers.
    """
    recent_ids = {outcome.request_id for outcome in outcomes}
    return [
        Failure("drained", item.request_id, f"ran at {item.server_id}")
        for item in executions
        if item.request_id in recent_ids and item.server_id in drained
    ]


class ExtraWindow(msgspec.Struct, frozen=True):
    """A window in which a service received extra attempts.

    Attributes
    ----------
    service : str
        The service.
    until_ms : float
        End of the window.
    extras : int
        Arrivals beyond the first of each request.
    requests : int
        Requests for the service, in the window, the one before it or the one half
        a window before it, whichever has the most.
    allowed : float
        Extra attempts that the budget allows.
    """

    service: str
    until_ms: float
    extras: int
    requests: int
    allowed: float


def extra_windows(
    arrivals: Iterable[Execution],
    requested_ms: Mapping[str, Sequence[float]],
    *,
    window_ms: float,
    ratio: float,
    allowance: float,
) -> list[ExtraWindow]:
    """Return the window that ends with each extra attempt.

    Parameters
    ----------
    arrivals : iterable of Execution
        Requests that reached servers, including those that were rejected.
    requested_ms : mapping of str to sequence of float
        By service, when callers sent requests for it, in order.
    window_ms, ratio, allowance : float
        The budget.
    """
    extras_ms: dict[str, list[float]] = defaultdict(list)
    seen = set()
    for item in sorted(arrivals, key=lambda item: item.at_ms):
        key = (item.service, item.request_id)
        if key in seen:
            extras_ms[item.service].append(item.at_ms)
        seen.add(key)
    windows = []
    for service, at_ms in extras_ms.items():
        for end, until_ms in enumerate(at_ms, start=1):
            extras = end - bisect_right(at_ms, until_ms - window_ms)
            requests = max(
                _count_between(requested_ms[service], end_ms - window_ms, end_ms)
                for end_ms in (until_ms, until_ms - window_ms / 2, until_ms - window_ms)
            )
            allowed = ratio * requests + allowance
            windows.append(ExtraWindow(service, until_ms, extras, requests, allowed))
    return windows


def _count_between(at_ms: Sequence[float], from_ms: float, until_ms: float) -> int:
    return bisect_right(at_ms, until_ms) - bisect_left(at_ms, from_ms)


def check_budget(windows: Iterable[ExtraWindow]) -> list[Failure]:
    """Check that no window has more extra attempts than the budget allows."""
    return [
        Failure(
            "budget",
            window.service,
            f"{window.extras} extra for {window.requests} requests,"
            f" {window.allowed:.0f} allowed",
        )
        for window in windows
        if window.extras > window.allowed
    ]


def check_crashes(
    executions: Iterable[Execution],
    outcomes: Iterable[Outcome],
    *,
    quiet_from_ms: float,
) -> list[Failure]:
    """Check that a request known to crash servers hardly reaches any.

    Parameters
    ----------
    executions : iterable of Execution
        Requests that servers executed.
    outcomes : iterable of Outcome
        All requests.
    quiet_from_ms : float
        When all faults have been over for the contact bound.
    """
    copies = {item.request_id for item in outcomes if item.path is RequestPath.CRASH}
    crashes = [item for item in executions if item.request_id in copies]
    late = {item.request_id for item in crashes if item.at_ms >= quiet_from_ms}
    if len(crashes) <= _TOLERATED_CRASHES or len(late) <= _TOLERATED_COPIES:
        return []
    return [Failure("crashes", min(late), f"{len(late)} copies crashed servers")]


def check_late_copies(
    records: ServerRecords,
    outcomes: Iterable[Outcome],
    *,
    contact_ms: float,
    in_touch: Callable[[str, float], bool],
) -> list[Failure]:
    """Check how often a crashing request reaches servers after the third crash.

    Parameters
    ----------
    records : ServerRecords
        What servers have seen.
    outcomes : iterable of Outcome
        All requests.
    contact_ms : float
        How long after the third crash copies are not counted yet.
    in_touch : callable
        Returns whether a front, given by name, was in touch at a time; copies that
        others sent are not counted.
    """
    copies = {
        item.request_id: item for item in outcomes if item.path is RequestPath.CRASH
    }
    crashed_ms = sorted(
        item.at_ms for item in records.executions if item.request_id in copies
    )
    if len(crashed_ms) < _TOLERATED_CRASHES:
        return []
    late_from_ms = crashed_ms[_TOLERATED_CRASHES - 1] + contact_ms
    late = {
        item.request_id
        for item in records.arrivals
        if item.request_id in copies and item.at_ms > late_from_ms
    }
    counted = {
        request_id
        for request_id in late
        if in_touch(copies[request_id].front_name, copies[request_id].sent_at_ms)
    }
    if len(counted) <= _TOLERATED_COPIES:
        return []
    detail = f"{len(counted)} copies reached servers late"
    return [Failure("late copies", min(counted), detail)]


def check_errors(logs: Mapping[str, str]) -> list[Failure]:
    """Check that no task of a front failed, given the log of each front by name."""
    return [
        Failure("errors", name, line[:_MAX_LINE_CHARACTERS])
        for name, log in logs.items()
        for line in log.splitlines()
        if UNEXPECTED_ERROR in line
    ]


def check_stops(
    outcomes: Iterable[Outcome],
    executions: Iterable[Execution],
    *,
    stops: Sequence[Span],
    disruptions: Sequence[Span],
) -> list[Failure]:
    """Check that a planned stop interrupts no request that reached a server.

    Parameters
    ----------
    outcomes : iterable of Outcome
        All requests.
    executions : iterable of Execution
        Requests that servers executed.
    stops : sequence of Span
        Spans from the signal to the exit of the process.
    disruptions : sequence of Span
        Spans in which another fault affected a front or its callers' proxy.
    """
    forwarded = {item.request_id for item in executions}
    return [
        Failure("stop", outcome.request_id, f"interrupted by a stop: {outcome.error}")
        for outcome in outcomes
        if outcome.error
        and outcome.request_id in forwarded
        and any(span.overlaps(outcome) for span in stops)
        and not any(span.overlaps(outcome) for span in disruptions)
    ]
