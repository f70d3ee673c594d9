"""What the report of a soak run says of workspaces."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ibisfront.testing.soak.fronts import (
    APPLY_MS,
    QUOTA_EXCESS,
    QUOTA_SLACK,
    QUOTA_WINDOW_MS,
)
from ibisfront.testing.soak.quota_checks import (
    binding_times,
    check_quotas,
    quota_windows,
)
from ibisfront.testing.soak.workspace_checks import (
    check_keys,
    check_logs,
    check_refused_keys,
    check_workspaces,
)

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from ibisfront.testing.soak.callers import Outcome
    from ibisfront.testing.soak.contact import Troubles
    from ibisfront.testing.soak.report import SoakReport
    from ibisfront.testing.soak.servers import Execution
    from ibisfront.testing.soak.workspace_load import WorkspaceLoad

__all__ = ["add_workspaces"]


def add_workspaces(
    report: SoakReport,
    load: WorkspaceLoad,
    outcomes: Sequence[Outcome],
    arrivals: Sequence[Execution],
    *,
    fronts: Sequence[str],
    troubles: Troubles,
    folder: Path,
) -> None:
    """Check what concerns workspaces and add the results to a report.

    Parameters
    ----------
    report : SoakReport
        The report.
    load : WorkspaceLoad
        The workspaces of the run and the callers that sent their keys.
    outcomes : sequence of Outcome
        All requests.
    arrivals : sequence of Execution
        Requests that reached servers.
    fronts : sequence of str
        Names of the front processes.
    troubles : Troubles
        Faults of fronts and of the store.
    folder : Path
        Directory of the fronts' logs.
    """
    history = load.workspaces.history
    windows = quota_windows(
        arrivals,
        {outcome.request_id: outcome.sent_at_ms for outcome in outcomes},
        history,
        binding_ms=binding_times(
            history, fronts=fronts, troubles=troubles, apply_ms=APPLY_MS
        ),
        window_ms=QUOTA_WINDOW_MS,
        excess=QUOTA_EXCESS,
        slack=QUOTA_SLACK,
    )
    report.failures += [
        *check_keys(arrivals),
        *check_logs(folder),
        *check_workspaces(
            outcomes, arrivals, history, troubles=troubles, apply_ms=APPLY_MS
        ),
        *check_refused_keys(outcomes, history, troubles=troubles, apply_ms=APPLY_MS),
        *check_quotas(windows),
    ]
    report.workspace_statuses = Counter(item.status for item in load.outcomes)
    report.fullest_quota_window = max(
        (window.requests / window.allowed for window in windows), default=0.0
    )
