"""Limits of workspaces, checked against what reached the servers."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import msgspec

from ibisfront.testing.soak.checks import Failure
from ibisfront.testing.soak.workspaces import Limit, versions_between

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from ibisfront.testing.soak.contact import Troubles
    from ibisfront.testing.soak.servers import Execution
    from ibisfront.testing.soak.workspaces import WorkspaceVersion

__all__ = ["QuotaWindow", "binding_times", "check_quotas", "quota_windows"]

_MILLISECONDS_PER_SECOND = 1000.0


class QuotaWindow(msgspec.Struct, frozen=True):
    """A window in which requests of a workspace reached servers.

    Attributes
    ----------
    workspace : str
        The workspace.
    until_ms : float
        End of the window.
    requests : int
        Requests that were sent and reached a server in it, each counted once.
    allowed : float
        Requests that the bound allows.
    """

    workspace: str
    until_ms: float
    requests: int
    allowed: float


def binding_times(
    history: Sequence[WorkspaceVersion],
    *,
    fronts: Iterable[str],
    troubles: Troubles,
    apply_ms: float,
) -> list[float]:
    """Return from when each version binds all fronts.

    It does once each front has been in touch later than the bound on changes
    after the version's acknowledgement.
    """
    names = list(fronts)
    return [
        max(troubles.in_touch_from(front, version.at_ms + apply_ms) for front in names)
        for version in history
    ]


def quota_windows(
    arrivals: Iterable[Execution],
    sent_ms: Mapping[str, float],
    history: list[WorkspaceVersion],
    *,
    binding_ms: Sequence[float],
    window_ms: float,
    excess: float,
    slack: float,
) -> list[QuotaWindow]:
    """Return the window that ends with each request of a limited workspace.

    Parameters
    ----------
    arrivals : iterable of Execution
        Requests that reached servers, including those that were rejected.
    sent_ms : mapping of str to float
        When callers sent the requests, by id; an unknown one counts as sent when
        it reached a server.
    history : list of WorkspaceVersion
        All versions.
    binding_ms : sequence of float
        From when each version binds, as :func:`binding_times` returns them.
    window_ms, excess, slack : float
        The bound on a workspace's requests.
    """
    first_ms: dict[str, dict[str, float]] = defaultdict(dict)
    for item in sorted(arrivals, key=lambda item: item.at_ms):
        first_ms[item.workspace].setdefault(item.request_id, item.at_ms)
    windows = []
    for workspace in {name for version in history for name in version.limits}:
        recent: list[float] = []
        for request_id, until_ms in first_ms[workspace].items():
            from_ms = until_ms - window_ms
            recent = [at_ms for at_ms in recent if at_ms >= from_ms]
            recent.append(sent_ms.get(request_id, until_ms))
            bound = [
                version.at_ms
                for version, at_ms in zip(history, binding_ms, strict=True)
                if at_ms <= from_ms
            ]
            oldest_ms = max(bound, default=float("-inf"))
            limits = [
                version.limits.get(workspace, Limit())
                for version in versions_between(history, oldest_ms, until_ms)
            ]
            allowed = max(_allowed(limit, window_ms) for limit in limits)
            allowed = allowed * (1.0 + excess) + slack
            windows.append(QuotaWindow(workspace, until_ms, len(recent), allowed))
    return windows


def _allowed(limit: Limit, window_ms: float) -> float:
    if not limit.rate_per_s:
        return float("inf")
    return limit.rate_per_s * window_ms / _MILLISECONDS_PER_SECOND + limit.burst


def check_quotas(windows: Iterable[QuotaWindow]) -> list[Failure]:
    """Check that no window has more requests than the bound allows."""
    return [
        Failure(
            "quota",
            window.workspace,
            f"{window.requests} until {window.until_ms:.0f},"
            f" {window.allowed:.1f} allowed",
        )
        for window in windows
        if window.requests > window.allowed
    ]
