"""Relay of the store's state from the instances that watch it."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Protocol

import msgspec
import trio

from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.instances.directory import InstanceEntry
from ibisfront.gateway.servers.server_entry import ServerEntry
from ibisfront.gateway.state.configuration import Configuration
from ibisfront.gateway.state.configuration_change import (
    ConfigurationChange,
    ConfigurationHistory,
)
from ibisfront.gateway.state.state_codec import decode_state, encode_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisfront.core.clock import Clock

__all__ = [
    "FRESH_WAIT_MS",
    "LocalState",
    "RelayedState",
    "StateClient",
    "StateRequest",
    "StateSource",
    "request_state",
]

_LOG = part_logger(LogPart.PEERS)

_LONG_POLL_MS = 1_000.0
"""How long a request waits for a change. A crashed or unresponsive source is detected
after this time plus the response grace period."""

_INITIAL_REVISION_RANGE = 2**48
"""Upper bound of the random initial revision."""

_MAXIMUM_REMOVED = 1_000
"""Removed servers that are kept for subscribers that have not been notified yet. A
subscriber is at most a second behind, and a thousand removals take hours."""

_MAXIMUM_ENCODED = 8
"""Encoded responses cached until the next change. The subscribers of one source have
one or two different revisions, and starting ones have none."""

_RESPONSE_GRACE_MS = 500.0
"""Time allowed for the response beyond the long-poll time."""

FRESH_WAIT_MS = 700.0
"""How long a request waits while the store has not answered this instance yet: listing
two kinds takes about ten milliseconds, a start half a second."""

_FRESH_CHECK_INTERVAL_MS = 50.0
"""Interval between checks for that answer."""

_LOG_FROM_BYTES = 32_768
"""Responses of this size are logged: one takes 37 ms on a link of 7 Mbit/s, which
delays replies to queries."""

_COALESCE_MS = 15.0
"""Pause between a change and the response, so that a burst of changes is sent
together."""


class RelayedState(msgspec.Struct, frozen=True, omit_defaults=True):
    """State of a source, relative to what the subscriber already has.

    Attributes
    ----------
    revision : int
        Increases with each change at the source; not the store's revision.
    is_fresh : bool
        Whether the source watches the store and the store answers.
    configuration : Configuration or None
        The active version, if it is new to the subscriber and cannot be sent as a
        change.
    is_whole : bool
        Whether ``servers`` is the complete list rather than only the entries that
        have changed.
    servers : list of ServerEntry
        Servers that are new to the subscriber or have changed.
    removed : list of str
        Ids of removed servers.
    instances : list of InstanceEntry or None
        All instances, if the list is new to the subscriber.
    is_cut_off : bool
        Whether the source cannot reach the servers. This also holds for instances of
        its zone that send no requests to servers themselves.
    configuration_change : ConfigurationChange or None
        Change from the subscriber's version to the active one.
    may_lack_servers : bool
        Whether live servers may be missing from ``servers``: the store was
        unavailable, and they may not have rewritten their entries yet.
    evacuated : list of str or None
        All evacuated zones, whose servers must get no requests, if the list is new
        to the subscriber.
    """

    revision: int
    is_fresh: bool
    configuration: Configuration | None = None
    is_whole: bool = False
    servers: list[ServerEntry] = []
    removed: list[str] = []
    instances: list[InstanceEntry] | None = None
    is_cut_off: bool = False
    configuration_change: ConfigurationChange | None = None
    may_lack_servers: bool = False
    evacuated: list[str] | None = None

    @property
    def has_configuration(self) -> bool:
        """Whether it contains a version, in full or as a change."""
        return self.configuration is not None or self.configuration_change is not None


class StateRequest(msgspec.Struct, frozen=True):
    """Request of a subscriber to a source.

    Attributes
    ----------
    known_revision : int
        Last revision that the subscriber received from the source; 0 for none.
    known_version : int
        Configuration version active at the subscriber; 0 for none. Only with 0 does
        a source that is not fresh send its state, which would saturate the links if
        sent at each source discovery while the store is unavailable.
    """

    known_revision: int
    known_version: int = 0


class LocalState(msgspec.Struct, frozen=True):
    """Current state of this instance.

    Attributes
    ----------
    configuration : Configuration or None
        The active version, if any.
    servers : list of ServerEntry
        Servers that the store lists.
    instances : list of InstanceEntry
        All instances.
    stale : frozenset of str
        Servers that the store does not list and that are kept for a grace period, in
        case they have not rewritten their entries after an outage.
    may_lack_servers : bool
        Whether live servers may be missing from ``servers``.
    evacuated : frozenset of str or None
        Zones whose servers must get no requests; None if not loaded yet.
    """

    configuration: Configuration | None
    servers: list[ServerEntry]
    instances: list[InstanceEntry]
    stale: frozenset[str] = frozenset()
    may_lack_servers: bool = False
    evacuated: frozenset[str] | None = None


class StateSource:
    """Serves the store's state to subscribers.

    A subscriber gets the changes since its revision. Complete lists at each change
    would saturate a small link for seconds while a set of hundreds of servers
    starts, and delay queries on it.

    Parameters
    ----------
    state : callable
        Returns the current state of this instance.
    is_fresh : callable
        Returns whether this instance watches the store and the store answers.
    may_become_fresh : callable
        Returns whether it may become fresh soon.
    is_cut_off : callable
        Returns whether this instance cannot reach the servers.
    clock : Clock
        Clock of the instance.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_encoded",
        "_entries",
        "_evacuated",
        "_evacuated_revision",
        "_history",
        "_instances",
        "_instances_revision",
        "_is_cut_off",
        "_is_fresh",
        "_may_become_fresh",
        "_may_lack_servers",
        "_oldest_revision",
        "_removed",
        "_revision",
        "_revisions",
        "_stale",
        "_state",
    )

    def __init__(
        self,
        *,
        state: Callable[[], LocalState],
        is_fresh: Callable[[], bool],
        may_become_fresh: Callable[[], bool],
        is_cut_off: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._state = state
        self._is_fresh = is_fresh
        self._may_become_fresh = may_become_fresh
        self._is_cut_off = is_cut_off
        self._instances: list[InstanceEntry] = []
        self._clock = clock
        # Random, so that a revision from before a restart does not match one of this
        # process. The time of day is unsuitable: it may go backwards.
        self._revision = secrets.randbelow(_INITIAL_REVISION_RANGE) + 1
        self._changed = trio.Event()
        self._entries: dict[str, ServerEntry] = {}
        self._revisions: dict[str, int] = {}
        self._removed: dict[str, int] = {}
        self._stale: frozenset[str] = frozenset()
        self._may_lack_servers = False
        self._history = ConfigurationHistory()
        self._encoded: dict[tuple[StateRequest, bool, bool], bytes] = {}
        self._instances_revision = self._revision
        self._evacuated: frozenset[str] | None = None
        self._evacuated_revision = self._revision
        self._oldest_revision = self._revision

    def notify_subscribers(self) -> None:
        """Answer all waiting requests at once.

        Must be called when the store stops serving this instance, so that subscribers
        choose another source, and when a partition from other zones begins or ends.
        Otherwise an instance that is not a coordinator would accept callers for up to
        the long-poll time of one second, and the load balancer sends callers to a
        zone as long as any of its instances is ready.
        """
        self._changed.set()
        self._changed = trio.Event()

    def record_change(self) -> None:
        """Record a possible change of the state, and notify subscribers of it."""
        state = self._state()
        revision = self._revision + 1
        configuration = state.configuration
        changed = configuration is not None and configuration.version != self._version
        if configuration is not None and changed:
            self._history.add(configuration)
        if state.instances != self._instances:
            self._instances, self._instances_revision = state.instances, revision
            changed = True
        if state.evacuated != self._evacuated:
            self._evacuated, self._evacuated_revision = state.evacuated, revision
            changed = True
        changed = self._record_servers(state, revision) or changed
        self._prune_removed()
        if changed:
            self._revision = revision
            self._encoded.clear()
            self.notify_subscribers()

    def _record_servers(self, state: LocalState, revision: int) -> bool:
        """Record the servers; return whether there is a change for subscribers."""
        before = (self._stale, self._may_lack_servers)
        if before != (state.stale, state.may_lack_servers):
            self._encoded.clear()
        relisted = self._stale - state.stale
        self._stale = state.stale
        self._may_lack_servers = state.may_lack_servers
        changed = False
        listed = {entry.server_id: entry for entry in state.servers}
        for server_id, entry in listed.items():
            if self._entries.get(server_id) != entry or server_id in relisted:
                self._entries[server_id] = entry
                self._revisions[server_id] = revision
                self._removed.pop(server_id, None)
                changed = True
        # Stale servers are not reported as removed.
        for server_id in self._entries.keys() - listed.keys() - state.stale:
            del self._entries[server_id]
            del self._revisions[server_id]
            self._removed[server_id] = revision
            changed = True
        return changed

    def _prune_removed(self) -> None:
        """Drop the oldest removals; subscribers behind them get complete lists."""
        while len(self._removed) > _MAXIMUM_REMOVED:
            oldest = next(iter(self._removed))
            self._oldest_revision = self._removed.pop(oldest)

    async def answer(self, request: StateRequest) -> bytes:
        """Return the encoded changes, waiting a while if there are none."""
        if not self._is_fresh():
            await self._wait_until_fresh()
        elif self._is_up_to_date(request):
            with self._clock.timeout_ms(_LONG_POLL_MS):
                await self._changed.wait()
                if self._is_fresh():
                    await self._clock.sleep_ms(_COALESCE_MS)
        return self._encoded_for(request)

    @property
    def _version(self) -> int:
        newest = self._history.newest
        return 0 if newest is None else newest.version

    def _is_up_to_date(self, request: StateRequest) -> bool:
        """Return whether there is no change for a subscriber.

        If the subscriber's version changed while a request was pending, the change
        sent may not apply; its next request then states a version older than the
        active one.
        """
        has_version = request.known_version >= self._version
        return has_version and request.known_revision == self._revision

    def _encoded_for(self, request: StateRequest) -> bytes:
        """Return the encoded response, from the cache if possible.

        All subscribers request the same change at once; encoding it for each would
        multiply the source's memory use and processor time.
        """
        is_fresh = self._is_fresh()
        is_cut_off = self._is_cut_off()
        needs_state = is_fresh or not request.known_version
        if not needs_state or self._is_up_to_date(request):
            minimal = RelayedState(self._revision, is_fresh, is_cut_off=is_cut_off)
            return encode_state(minimal)
        key = (request, is_fresh, is_cut_off)
        if key not in self._encoded:
            if len(self._encoded) >= _MAXIMUM_ENCODED:
                self._encoded.clear()
            self._encoded[key] = encode_state(self._changes_since(request))
        return self._encoded[key]

    async def _wait_until_fresh(self) -> None:
        """Wait briefly for the store; the subscriber would otherwise call it itself."""
        until_ms = self._clock.now_ms() + FRESH_WAIT_MS
        while self._may_become_fresh() and self._clock.now_ms() < until_ms:
            await self._clock.sleep_ms(_FRESH_CHECK_INTERVAL_MS)

    def _changes_since(self, request: StateRequest) -> RelayedState:
        is_whole = not self._oldest_revision <= request.known_revision <= self._revision
        since = 0 if is_whole else request.known_revision
        configuration, change = self._configuration_since(request.known_version)
        instances = None
        if self._instances_revision > since:
            instances = self._instances
        evacuated = None
        if self._evacuated is not None and self._evacuated_revision > since:
            evacuated = sorted(self._evacuated)
        return RelayedState(
            revision=self._revision,
            is_fresh=self._is_fresh(),
            configuration=configuration,
            configuration_change=change,
            is_whole=is_whole,
            servers=[
                entry
                for server_id, entry in self._entries.items()
                if self._revisions[server_id] > since and server_id not in self._stale
            ],
            removed=[
                server_id
                for server_id, revision in self._removed.items()
                if revision > since and not is_whole
            ],
            instances=instances,
            is_cut_off=self._is_cut_off(),
            may_lack_servers=self._may_lack_servers,
            evacuated=evacuated,
        )

    def _configuration_since(
        self, version: int
    ) -> tuple[Configuration | None, ConfigurationChange | None]:
        """Return the newest version, or a change to it, or neither."""
        if version >= self._version:
            return None, None
        change = self._history.change_since(version)
        return (self._history.newest if change is None else None), change


class StateClient(Protocol):
    """Requests the state of one other instance."""

    async def request(self, request: StateRequest, *, timeout_ms: float) -> bytes:
        """Return an encoded ``RelayedState``; raise ``OSError`` on failure."""

    def close(self) -> None:
        """Close the connection."""


async def request_state(
    client: StateClient, request: StateRequest, *, name: str
) -> RelayedState | None:
    """Request the state of another instance once.

    Parameters
    ----------
    client : StateClient
        Client of the instance.
    request : StateRequest
        Revision and version that this instance has.
    name : str
        Name of the instance, for the log.

    Returns
    -------
    RelayedState or None
        The response; None if there is no valid one, which is logged.
    """
    try:
        data = await client.request(
            request, timeout_ms=_LONG_POLL_MS + _RESPONSE_GRACE_MS
        )
        if len(data) >= _LOG_FROM_BYTES:
            _LOG.info("%s sent %d bytes of state.", name, len(data))
        return decode_state(data, RelayedState)
    except (OSError, msgspec.DecodeError) as error:
        _LOG.warning("No valid state from %s: %s.", name, error)
        return None
