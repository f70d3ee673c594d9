"""Guarantees on keys of workspaces, checked against callers and servers."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from ibisfront.testing.soak.callers import RequestPath
from ibisfront.testing.soak.checks import Failure
from ibisfront.testing.soak.workspaces import KEY_PREFIX, versions_between

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from ibisfront.testing.soak.callers import Outcome
    from ibisfront.testing.soak.contact import Troubles
    from ibisfront.testing.soak.servers import Execution
    from ibisfront.testing.soak.workspaces import WorkspaceVersion

__all__ = ["check_keys", "check_logs", "check_refused_keys", "check_workspaces"]

_UNKNOWN_KEY = 401
_BEGINNING_MS = float("-inf")


def check_keys(arrivals: Iterable[Execution]) -> list[Failure]:
    """Check that no key of a caller reached a server."""
    return [
        Failure("key", item.request_id, f"its key reached {item.server_id}")
        for item in arrivals
        if item.has_key
    ]


def check_logs(folder: Path) -> list[Failure]:
    """Check that no file that the fronts wrote contains a key."""
    return [
        Failure("key", "", f"a key stands in {path.name}")
        for pattern in ("*.log", "*.err")
        for path in folder.glob(pattern)
        if KEY_PREFIX in path.read_text(errors="replace")
    ]


def check_workspaces(
    outcomes: Iterable[Outcome],
    arrivals: Iterable[Execution],
    history: list[WorkspaceVersion],
    *,
    troubles: Troubles,
    apply_ms: float,
) -> list[Failure]:
    """Check that requests reach servers for the workspace that holds their key.

    A request whose key some version held, but none that may be in force, must
    reach no server; neither must one whose key no version held, unless its route
    is public.

    Parameters
    ----------
    outcomes : iterable of Outcome
        All requests.
    arrivals : iterable of Execution
        Requests that reached servers.
    history : list of WorkspaceVersion
        All versions.
    troubles : Troubles
        Faults, which excuse the fronts that they affect.
    apply_ms : float
        Bound on the time from a version's acknowledgement until it is in force.
    """
    arrived: dict[str, list[Execution]] = defaultdict(list)
    for item in arrivals:
        arrived[item.request_id].append(item)
    known_keys = {key for version in history for key in version.holders}
    failures = []
    for outcome in outcomes:
        from_ms = _oldest_ms(outcome, troubles, apply_ms)
        for item in arrived[outcome.request_id]:
            allowed = _holders(history, outcome.key, from_ms, item.at_ms)
            if outcome.path is not RequestPath.OPEN:
                allowed.discard("")
            if item.workspace in allowed:
                continue
            if outcome.path is RequestPath.OPEN or allowed:
                check, detail = "workspace", f"{item.workspace!r}, not {allowed}"
            elif outcome.key in known_keys:
                check, detail = "revoked", f"{outcome.key} was not in force"
            else:
                check, detail = "unknown key", repr(outcome.key)
            failures.append(Failure(check, outcome.request_id, detail))
    return failures


def check_refused_keys(
    outcomes: Iterable[Outcome],
    history: list[WorkspaceVersion],
    *,
    troubles: Troubles,
    apply_ms: float,
) -> list[Failure]:
    """Check that keys are refused only if a version that may be in force lacks them.

    Parameters are those of :func:`check_workspaces`.
    """
    failures = []
    for outcome in outcomes:
        if outcome.status != _UNKNOWN_KEY:
            continue
        from_ms = _oldest_ms(outcome, troubles, apply_ms)
        holders = _holders(history, outcome.key, from_ms, outcome.ended_at_ms)
        if outcome.path is RequestPath.OPEN or "" not in holders:
            detail = f"401 for {outcome.key!r} of {holders} at {outcome.front}"
            failures.append(Failure("refused key", outcome.request_id, detail))
    return failures


def _oldest_ms(outcome: Outcome, troubles: Troubles, apply_ms: float) -> float:
    """Return since when the version that decided a request may have been the latest.

    A front that is not in touch may have any version.
    """
    front = outcome.front.partition("#")[0]
    if not troubles.in_touch(front, outcome.sent_at_ms):
        return _BEGINNING_MS
    return outcome.sent_at_ms - apply_ms


def _holders(
    history: list[WorkspaceVersion], key: str, from_ms: float, until_ms: float
) -> set[str]:
    """Return the holders of a key, "" for none, in the versions of a span."""
    versions = versions_between(history, from_ms, until_ms)
    return {version.holders.get(key, "") for version in versions}
