"""Division of a workspace's limit into parts that instances grant on their own.

Load pattern: instances die, freeze, or are cut off from each other, and no one knows
which. Parts that never change hands need no agreement: together they are the limit
and some of the room that the deployment leaves above it, whoever is out of touch.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from ibisfront.gateway.settings import Bounds
    from ibisfront.gateway.state.configuration import Workspace

__all__ = ["QuotaDivision", "QuotaPart", "divide_quota", "quota_room"]

_ROOM_SHARE = 0.5
"""Part of the room above a limit that is used."""

_MIN_SAVED_SHARE = 0.4
"""Part of the used room that buckets may at least save up: a token is whole only at
one of them, so that the others keep fractions that serve no request. The rest is for
start tokens, as far as they are needed."""

_RATE_SHARE = 0.5
"""Part of the room left by these that is added to the rate."""

_RESTARTS_PER_WINDOW = 2
"""Restarts of an owner in one window, each with start tokens."""

_RESERVE_SAVED_SHARE = 0.5
_RESERVE_RATE_SHARE = 0.25
"""Parts of the other half of the room that reserve owners may save up, and gain in a
window. It is used only while owners do not answer."""

_MIN_PART_PER_WINDOW = 8.0
"""Requests per window that a part should allow; more parts would mostly be found
empty by turns, and fewer would each be missed more when their owner is lost."""

_MAX_OWNERS_PER_ZONE = 4

_LEAN_START_S = 1.0
"""Time after a start in which a part should allow one request."""


class QuotaPart(msgspec.Struct, frozen=True):
    """The part of a limit that one owner grants.

    Attributes
    ----------
    rate_per_s : float
        Requests per second.
    capacity : float
        Requests that may be saved up.
    start_tokens : float
        Requests that may be granted just after a start, when it is not known what a
        predecessor has granted.
    """

    rate_per_s: float
    capacity: float
    start_tokens: float


class QuotaDivision(msgspec.Struct, frozen=True):
    """How a limit is divided.

    Attributes
    ----------
    part : QuotaPart
        The part of each owner.
    reserve : QuotaPart or None
        The part of each zone's reserve owner, which is asked when owners do not
        answer; None if the room does not suffice for it.
    zones : int
        Zones that have owners.
    owners_per_zone : int
        Owners in each of them.
    """

    part: QuotaPart
    reserve: QuotaPart | None
    zones: int
    owners_per_zone: int


def quota_room(workspace: Workspace, bounds: Bounds) -> float:
    """Return the requests per window that are accepted above a limit."""
    window_s = bounds.quota_window_ms / 1_000.0
    whole = workspace.limit_per_s * window_s + workspace.limit_burst
    return whole * bounds.quota_excess + bounds.quota_slack


def divide_quota(
    workspace: Workspace, bounds: Bounds, *, zones: int, smallest_zone: int
) -> QuotaDivision:
    """Divide a limit among owners.

    Parameters
    ----------
    workspace : Workspace
        The workspace whose limit it is.
    bounds : Bounds
        The deployment's bounds.
    zones : int
        Number of zones with instances, at least one.
    smallest_zone : int
        Number of instances in the zone that has the fewest.
    """
    window_s = bounds.quota_window_ms / 1_000.0
    whole = workspace.limit_per_s * window_s + workspace.limit_burst
    room = quota_room(workspace, bounds) * _ROOM_SHARE
    saved = workspace.limit_burst + room * _MIN_SAVED_SHARE
    # A bucket that holds less than one token grants nothing.
    zones = max(min(zones, int(saved)), 1)
    most = int(whole / (zones * _MIN_PART_PER_WINDOW))
    owners_per_zone = max(min(most, smallest_zone, _MAX_OWNERS_PER_ZONE), 1)
    while owners_per_zone > 1 and saved < zones * owners_per_zone * 2.0:
        owners_per_zone -= 1
    owners = zones * owners_per_zone
    rate_per_s = workspace.limit_per_s / owners
    start_room = room * (1.0 - _MIN_SAVED_SHARE) / (_RESTARTS_PER_WINDOW * owners)
    start_tokens = min(start_room, max(1.0 - rate_per_s * _LEAN_START_S, 0.0))
    saved_room = room - start_tokens * _RESTARTS_PER_WINDOW * owners
    # What is left makes up for tokens that lapse at one instance while another has
    # a request.
    rate_room = (saved_room - room * _MIN_SAVED_SHARE) * _RATE_SHARE
    rate_per_s += max(rate_room, 0.0) / window_s / owners
    saved = workspace.limit_burst + saved_room - max(rate_room, 0.0)
    part = QuotaPart(
        rate_per_s=rate_per_s,
        capacity=max(saved / owners, 1.0),
        start_tokens=start_tokens,
    )
    reserve = None
    if room * _RESERVE_SAVED_SHARE >= zones and smallest_zone > owners_per_zone:
        rate_per_s = room * _RESERVE_RATE_SHARE / zones / window_s
        reserve = QuotaPart(
            rate_per_s=min(rate_per_s, workspace.limit_per_s / zones),
            capacity=1.0,
            start_tokens=0.0,
        )
    return QuotaDivision(part, reserve, zones, owners_per_zone)
