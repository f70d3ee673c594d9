"""Report of a soak run."""

from __future__ import annotations

import msgspec

from ibisfront.testing.soak.checks import Failure

__all__ = ["SoakReport"]


class SoakReport(msgspec.Struct):
    """Results of one run.

    Attributes
    ----------
    seed : int
        Seed from which the faults were drawn.
    requests, served : int
        Requests sent during the fault phase, and those that succeeded.
    faults : dict of str to int
        Number of faults by kind.
    failures : list of Failure
        Guarantees that were violated.
    longest_stall_ms : float
        How long the process of the soak stood still, with the store and the servers.
    fullest_window : float
        Extra attempts as a share of those allowed, in the window with the largest
        share.
    fullest_quota_window : float
        Requests of a limited workspace as a share of those allowed, likewise.
    workspace_statuses : dict of int to int
        Number of requests with keys of changing or limited workspaces, by status.
    """

    seed: int
    requests: int
    served: int
    faults: dict[str, int]
    failures: list[Failure]
    longest_stall_ms: float = 0.0
    fullest_window: float = 0.0
    fullest_quota_window: float = 0.0
    workspace_statuses: dict[int, int] = {}
