"""Max-min fair allocation of a capacity among claimants with given demands."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["divide", "divide_whole"]


def divide(
    capacity: float, demands: Sequence[float], *, surplus_fraction: float = 0.0
) -> list[float]:
    """Return the max-min fair allocation of a capacity.

    Parameters
    ----------
    capacity : float
        The amount to divide.
    demands : sequence of float
        The demand of each claimant.
    surplus_fraction : float, optional
        The fraction of the surplus over all demands that is split equally, so that
        a claimant whose demand grows has spare capacity immediately.

    Examples
    --------
    >>> divide(10.0, [1.0, 8.0, 8.0])
    [1.0, 4.5, 4.5]
    """
    allocations = [0.0] * len(demands)
    remaining = max(capacity, 0.0)
    ascending = sorted(range(len(demands)), key=demands.__getitem__)
    for served, claimant in enumerate(ascending):
        equal_share = remaining / (len(demands) - served)
        allocations[claimant] = min(demands[claimant], equal_share)
        remaining -= allocations[claimant]
    surplus_share = surplus_fraction * remaining / len(demands) if demands else 0.0
    return [allocation + surplus_share for allocation in allocations]


def divide_whole(
    capacity: int, demands: Sequence[float], *, surplus_fraction: float = 0.0
) -> list[int]:
    """Return the max-min fair allocation of a capacity in whole units.

    Units left over by rounding down go one each to the first claimants with an
    unmet demand, in the given order.
    """
    fair = divide(float(capacity), demands, surplus_fraction=surplus_fraction)
    allocations = [math.floor(allocation) for allocation in fair]
    remaining = max(capacity, 0) - sum(allocations)
    for claimant, demand in enumerate(demands):
        if remaining > 0 and allocations[claimant] < demand:
            allocations[claimant] += 1
            remaining -= 1
    return allocations
