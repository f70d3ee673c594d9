"""Settings of a gateway process."""

from __future__ import annotations

import msgspec

from ibisfront.core.types import Address

__all__ = ["Bounds", "GatewaySettings"]

_BYTES_PER_MEGABYTE = 1_000_000


_RECONNECT_RESERVE_MS = 1_000.0
"""Reserve for detecting a silent connection, reconnecting and listing again."""

_SUBSCRIBER_RESERVE_MS = 1_500.0
"""Reserve for the subscribers of an instance that the store no longer serves: 0.6 s
until its watch is overdue, then 0.8 s for other instances, which are queried in
parallel and may wait for the store themselves, and the network latency to the store."""

_CHANGE_SHARE = 0.8
"""Share of the bound of a change within which it arrives in the worst case."""

_MIN_WATCH_WAIT_MS = 500.0
"""The shortest wait of a watch: with less, most calls return no change."""


class Bounds(msgspec.Struct, frozen=True):
    """Bounds set by the deployment.

    Attributes
    ----------
    stop_grace_ms : float
        How long a process may continue to run after SIGTERM.
    contact_ms : float
        Time without a fault after which the bounds hold again.
    change_ms : float
        Time after which a change of the configuration or of a server in the store
        must be in effect.
    extra_ratio : float
        Extra sub-requests that a service may get per request, from all instances
        together.
    extra_window_ms : float
        Sliding window over which they are counted.
    extra_allowance : float
        Extra sub-requests allowed in a window besides the ratio, from all
        instances together.
    evacuation_ms : float or None
        Time after which the servers of an evacuated zone must get no requests;
        None where zones are never evacuated.
    cold_excess : float
        Multiple of its warm-up rate that a cold server may get in a second.
    cold_slack : float
        Requests that it may get in a second in addition.
    quota_window_ms : float
        Sliding window over which the requests of a workspace are counted.
    quota_excess : float
        Share of a workspace's limit by which it may be exceeded in a window.
    quota_slack : float
        Requests by which it may be exceeded in addition.
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
    quota_window_ms: float = 5_000.0
    quota_excess: float = 0.0
    quota_slack: float = 0.0

    def cold_bound_per_s(self, warm_up_per_s: float) -> float:
        """Return a cold server's limit over all instances, in requests per second."""
        return warm_up_per_s * self.cold_excess + self.cold_slack

    @property
    def watch_wait_ms(self) -> float:
        """How long a watch of the store may wait for a change.

        A silent connection is detected only after this wait. It must end early
        enough to reconnect and list again before the bounds hold again; each call
        has a cost, so the wait is no shorter than necessary.
        """
        return max(self.contact_ms - _RECONNECT_RESERVE_MS, _RECONNECT_RESERVE_MS)

    @property
    def source_watch_wait_ms(self) -> float:
        """The same at an instance that is a state source."""
        wait_ms = _CHANGE_SHARE * self.change_ms - _SUBSCRIBER_RESERVE_MS
        return min(max(wait_ms, _MIN_WATCH_WAIT_MS), self.watch_wait_ms)


class GatewaySettings(msgspec.Struct, frozen=True):
    """The settings of one process.

    Attributes
    ----------
    instance : str
        This instance's name.
    zone : str
        Its availability zone.
    callers_address : Address
        Listening address for callers.
    ready_address : Address
        Listening address for the balancer's readiness check.
    peers_address : Address or None
        Listening address for other instances.
    metrics_address : Address or None
        Listening address for metrics.
    seeds : tuple of Address
        Addresses of some other instances.
    store_address : Address
        Address of the platform's store.
    bounds : Bounds
        The deployment's bounds.
    zones : frozenset of str
        All availability zones.
    capacity : float
        Number of CPU cores of the process.
    is_first_start : bool
        Whether the whole deployment starts for the first time.
    memory_mb : float
        Memory above which the process is killed, in millions of bytes.
    maximum_descriptors : int
        Descriptors that it may open, for files and sockets.
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
    memory_mb: float = 200.0
    maximum_descriptors: int = 4_100

    @property
    def memory_bytes(self) -> int:
        """Memory above which the process is killed."""
        return int(self.memory_mb * _BYTES_PER_MEGABYTE)
