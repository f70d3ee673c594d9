"""What a gateway process is told at its start."""

from __future__ import annotations

import msgspec

from ibisfront.core.types import Address

__all__ = ["Bounds", "GatewaySettings"]


_RECONNECT_MS = 1_000.0
"""Set aside for noticing a silent connection, connecting and listing anew."""

_FOLLOWERS_TURN_MS = 1_500.0
"""Set aside for those that follow an instance which the store serves no more:
0.6 s until its watch is overdue, then 0.8 s for other instances, which are asked side
by side and may wait for the store themselves, and the way to the store."""

_CHANGE_SHARE = 0.8
"""Share of the bound of a change in which it arrives at the worst."""

_LEAST_WATCH_WAIT_MS = 500.0
"""The shortest wait of a watch: below it most calls bring nothing."""


class Bounds(msgspec.Struct, frozen=True):
    """The bounds that the deployment sets.

    Attributes
    ----------
    stop_grace_ms : float
        How long a process may run on after SIGTERM.
    contact_ms : float
        After how long without a fault the bounds hold again.
    change_ms : float
        How soon a change of the configuration or of a server must be heeded
        after the store has it.
    extra_ratio : float
        Extra sub-requests that a service may get for each request, from all
        instances together.
    extra_window_ms : float
        The sliding window over which they are counted.
    extra_allowance : float
        Extra sub-requests allowed in a window besides, from all instances
        together.
    evacuation_ms : float or None
        How soon the servers of a zone that is evacuated must get nothing more;
        None where zones are never evacuated.
    cold_excess : float
        How many times its warm-up rate a cold server may get in a second.
    cold_slack : float
        Requests that it may get besides.
    """

    stop_grace_ms: float = 6_000.0
    contact_ms: float = 4_000.0
    change_ms: float = 3_000.0
    extra_ratio: float = 0.2
    extra_window_ms: float = 10_000.0
    extra_allowance: float = 50.0
    evacuation_ms: float | None = None
    cold_excess: float = 1.0
    cold_slack: float = 0.0

    def cold_bound_per_s(self, warm_up_per_s: float) -> float:
        """Return what a cold server may get in a second from all instances."""
        return warm_up_per_s * self.cold_excess + self.cold_slack

    @property
    def watch_wait_ms(self) -> float:
        """How long a watch of the store may wait for a change.

        A connection that has gone silent shows only when this is over. With
        the time to connect and list anew it must be over before the bounds
        hold again; each call has its price, so it is no shorter than that.
        """
        return max(self.contact_ms - _RECONNECT_MS, _RECONNECT_MS)

    @property
    def source_watch_wait_ms(self) -> float:
        """The same at an instance that others follow."""
        wait_ms = _CHANGE_SHARE * self.change_ms - _FOLLOWERS_TURN_MS
        return min(max(wait_ms, _LEAST_WATCH_WAIT_MS), self.watch_wait_ms)


class GatewaySettings(msgspec.Struct, frozen=True):
    """The settings of one process.

    Attributes
    ----------
    instance : str
        This instance's name.
    zone : str
        Its availability zone.
    callers_address : Address
        Where callers are served.
    ready_address : Address
        Where the balancer asks whether to send callers here.
    peers_address : Address or None
        Where other instances reach this one.
    metrics_address : Address or None
        Where counters are served.
    seeds : tuple of Address
        Where some other instances may be reached.
    store_address : Address
        The platform's store.
    bounds : Bounds
        The deployment's bounds.
    zones : frozenset of str
        All availability zones.
    capacity : float
        How many cores the process has.
    is_first_start : bool
        Whether the whole deployment starts for the first time.
    """

    instance: str
    zone: str
    callers_address: Address
    ready_address: Address
    store_address: Address
    peers_address: Address | None = None
    metrics_address: Address | None = None
    seeds: tuple[Address, ...] = ()
    bounds: Bounds = Bounds()
    zones: frozenset[str] = frozenset()
    capacity: float = 1.0
    is_first_start: bool = False
