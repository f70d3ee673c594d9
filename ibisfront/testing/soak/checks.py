"""The promises of the front daemon, checked from what callers and servers saw."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

import msgspec

from ibisfront.testing.soak.callers import RequestPath
from ibisfront.testing.soak.servers import part_records, signature

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ibisfront.testing.soak.callers import Outcome
    from ibisfront.testing.soak.servers import Ran

__all__ = [
    "Failure",
    "Shape",
    "Span",
    "check_answers",
    "check_budget",
    "check_drained",
    "check_orders",
    "check_stops",
    "check_versions",
]

_OK = 200
_PROMISES_NOT_RUN = (408, 421, 429, 503)
_STAMPS = b"x-shard-stamps"
_MISSING = b"x-shards-missing"
_STAMP = b"x-backend-stamp"


class Failure(msgspec.Struct, frozen=True):
    """A broken promise."""

    check: str
    request_id: str
    detail: str


class Shape(msgspec.Struct, frozen=True):
    """What the configurations of a run allow.

    Attributes
    ----------
    generations : tuple of tuple of str
        The services of a search, by generation: each repartition is one.
    top_count : int
        How many records a search returns.
    minimum_coverage : float
        The least share of the services that makes an answer.
    fetch, order : str
        The services of the other two routes.
    """

    generations: tuple[tuple[str, ...], ...]
    top_count: int = 6
    minimum_coverage: float = 0.5
    fetch: str = "fetch"
    order: str = "order"


class Span(msgspec.Struct, frozen=True):
    """A time in which something happened to a front process.

    Attributes
    ----------
    front : str
        The process, with its incarnation.
    from_ms, until_ms : float
        The time.
    """

    front: str
    from_ms: float
    until_ms: float

    def meets(self, outcome: Outcome) -> bool:
        """Return whether a request was under way in it."""
        is_same = outcome.front == self.front
        return (
            is_same
            and outcome.sent_at_ms <= self.until_ms
            and outcome.ended_at_ms >= self.from_ms
        )


def check_answers(outcomes: Iterable[Outcome], shape: Shape) -> list[Failure]:
    """Check that each success is the caller's own, whole, and true."""
    failures = []
    for outcome in outcomes:
        detail = ""
        if outcome.status == -1:
            detail = f"bytes that are no answer: {outcome.error}"
        elif outcome.status == _OK:
            detail = _wrong(outcome, shape)
        if detail:
            failures.append(Failure("answers", outcome.request_id, detail))
    return failures


def _wrong(outcome: Outcome, shape: Shape) -> str:
    """Return what is wrong with a success; empty if nothing is."""
    if outcome.path is RequestPath.SEARCH:
        return _wrong_search(outcome, shape)
    service = shape.fetch if outcome.path is RequestPath.FETCH else shape.order
    stamp = outcome.headers.get(_STAMP, b"").decode()
    if stamp != signature(service, outcome.request_id):
        return f"signed {stamp!r}"
    if outcome.body != b"".join(part_records(service, outcome.request_id)):
        return "another body than the server's"
    return ""


def _wrong_search(outcome: Outcome, shape: Shape) -> str:
    named = _services(outcome)
    if len(set(named)) != len(named):
        return "a service twice"
    generation = generation_of(outcome, shape)
    if generation is None:
        return f"parts of no one version: {named}"
    total = len(shape.generations[generation])
    missing = int(outcome.headers.get(_MISSING, b"0"))
    if len(named) + missing != total:
        return f"{len(named)} parts and {missing} missing of {total}"
    if len(named) < shape.minimum_coverage * total:
        return f"only {len(named)} of {total}"
    records = [r for name in named for r in part_records(name, outcome.request_id)]
    expected = b"".join(sorted(records, reverse=True)[: shape.top_count])
    return "" if outcome.body == expected else "not the greatest records of its parts"


def _services(outcome: Outcome) -> list[str]:
    """Return the services whose parts an answer names; wrong ones as they are."""
    stamps = outcome.headers.get(_STAMPS, b"").decode().split(",")
    ending = f".{outcome.request_id}"
    return [stamp.strip().removesuffix(ending) for stamp in stamps if stamp.strip()]


def generation_of(outcome: Outcome, shape: Shape) -> int | None:
    """Return which generation an answer's parts are of; None if of no one."""
    named = set(_services(outcome))
    for number, services in enumerate(shape.generations):
        if named and named <= set(services):
            return number
    return None


def check_orders(outcomes: Iterable[Outcome], ran: Iterable[Ran]) -> list[Failure]:
    """Check that what must not be repeated ran once, and "not run" is true."""
    runs = Counter(item.request_id for item in ran)
    failures = []
    for outcome in outcomes:
        times = runs[outcome.request_id]
        if outcome.path is not RequestPath.ORDER:
            continue
        if times > 1:
            failures.append(Failure("once", outcome.request_id, f"ran {times} times"))
        if outcome.status in _PROMISES_NOT_RUN and times:
            detail = f"answered {outcome.status} and ran"
            failures.append(Failure("not run", outcome.request_id, detail))
    return failures


def check_versions(outcomes: Iterable[Outcome], shape: Shape) -> list[Failure]:
    """Check that versions never fall within one process.

    An answer shows its version by its services. A request that was sent after
    an answer was seen must not show an older one.
    """
    by_front: dict[str, list[tuple[Outcome, int]]] = defaultdict(list)
    for outcome in outcomes:
        if outcome.path is RequestPath.SEARCH and outcome.status == _OK:
            generation = generation_of(outcome, shape)
            if generation is not None:
                by_front[outcome.front].append((outcome, generation))
    return [failure for seen in by_front.values() for failure in _falls(seen)]


def _falls(seen: list[tuple[Outcome, int]]) -> list[Failure]:
    ended = sorted(seen, key=lambda item: item[0].ended_at_ms)
    failures = []
    for outcome, generation in seen:
        before = [
            known for other, known in ended if other.ended_at_ms < outcome.sent_at_ms
        ]
        if before and max(before) > generation:
            detail = f"generation {generation} after {max(before)}"
            failures.append(Failure("versions", outcome.request_id, detail))
    return failures


def check_drained(
    ran: Iterable[Ran], outcomes: Iterable[Outcome], drained: Sequence[str]
) -> list[Failure]:
    """Check that none of some requests reached a server that had been drained.

    Parameters
    ----------
    ran : iterable of Ran
        What ran.
    outcomes : iterable of Outcome
        Requests that were sent long after.
    drained : sequence of str
        The servers.
    """
    late = {outcome.request_id for outcome in outcomes}
    return [
        Failure("drained", item.request_id, f"ran at {item.server_id}")
        for item in ran
        if item.request_id in late and item.server_id in drained
    ]


def check_budget(
    ran: Iterable[Ran],
    outcomes: Iterable[Outcome],
    *,
    window_ms: float,
    ratio: float,
    allowance: float,
) -> list[Failure]:
    """Check that no service got more extra work than the budget allows.

    Requests are counted over the window and the one before it, as work may
    reach a server late.
    """
    sent_ms = sorted(outcome.sent_at_ms for outcome in outcomes)
    extras: dict[str, list[float]] = defaultdict(list)
    seen = set()
    for item in sorted(ran, key=lambda item: item.at_ms):
        key = (item.service, item.request_id)
        if key in seen:
            extras[item.service].append(item.at_ms)
        seen.add(key)
    failures = []
    for service, at_ms in extras.items():
        for end, moment_ms in enumerate(at_ms, start=1):
            count = end - bisect_right(at_ms, moment_ms - window_ms)
            first = bisect_left(sent_ms, moment_ms - 2 * window_ms)
            requests = bisect_right(sent_ms, moment_ms) - first
            if count > ratio * requests + allowance:
                detail = f"{count} extra for {requests} requests"
                failures.append(Failure("budget", service, detail))
    return failures


def check_stops(
    outcomes: Iterable[Outcome],
    ran: Iterable[Ran],
    *,
    stops: Sequence[Span],
    spoiled: Sequence[Span],
) -> list[Failure]:
    """Check that a planned stop cuts off no request that a server was sent.

    Parameters
    ----------
    outcomes : iterable of Outcome
        All requests.
    ran : iterable of Ran
        What ran.
    stops : sequence of Span
        From the signal to the end of the process.
    spoiled : sequence of Span
        Times in which something else befell a front or its callers' path.
    """
    passed_on = {item.request_id for item in ran}
    return [
        Failure("stop", outcome.request_id, f"cut off by a stop: {outcome.error}")
        for outcome in outcomes
        if outcome.error
        and outcome.request_id in passed_on
        and any(span.meets(outcome) for span in stops)
        and not any(span.meets(outcome) for span in spoiled)
    ]
