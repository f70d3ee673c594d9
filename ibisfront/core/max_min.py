"""Max-min fair division: nobody gets more while another wants and has less."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["divide", "divide_whole"]


def divide(
    capacity: float, demands: Sequence[float], *, spare_part: float = 0.0
) -> list[float]:
    """Return each claimant's part of a capacity.

    Parameters
    ----------
    capacity : float
        What there is.
    demands : sequence of float
        What each claimant wants.
    spare_part : float, optional
        How much of what is left when every demand is met is split equally, so
        that a claimant whose demand grows has some of it at once.

    Examples
    --------
    >>> divide(10.0, [1.0, 8.0, 8.0])
    [1.0, 4.5, 4.5]
    """
    parts = [0.0] * len(demands)
    left = max(capacity, 0.0)
    ascending = sorted(range(len(demands)), key=demands.__getitem__)
    for served, claimant in enumerate(ascending):
        equal_part = left / (len(demands) - served)
        parts[claimant] = min(demands[claimant], equal_part)
        left -= parts[claimant]
    spare = spare_part * left / len(demands) if demands else 0.0
    return [part + spare for part in parts]


def divide_whole(
    capacity: int, demands: Sequence[float], *, spare_part: float = 0.0
) -> list[int]:
    """Return each claimant's part of a capacity, in whole units.

    The units that rounding down leaves go one each to the first claimants
    with an unmet demand, in the order given.
    """
    fair = divide(float(capacity), demands, spare_part=spare_part)
    parts = [math.floor(part) for part in fair]
    left = max(capacity, 0) - sum(parts)
    for claimant, demand in enumerate(demands):
        if left > 0 and parts[claimant] < demand:
            parts[claimant] += 1
            left -= 1
    return parts
