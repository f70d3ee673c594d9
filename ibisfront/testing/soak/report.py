"""What a run of the soak did and found."""

from __future__ import annotations

import msgspec

from ibisfront.testing.soak.checks import Failure

__all__ = ["SoakReport"]


class SoakReport(msgspec.Struct):
    """What one run did and found.

    Attributes
    ----------
    seed : int
        What drew its faults.
    requests, served : int
        Requests sent while there were faults, and those that were answered
        with success.
    faults : dict of str to int
        Faults by kind.
    failures : list of Failure
        Promises that were broken.
    """

    seed: int
    requests: int
    served: int
    faults: dict[str, int]
    failures: list[Failure]
