"""Passing the store's state on from the instances that watch it."""

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
"""How long a question waits for a change: a source that has died or gone
silent is noticed after this and the slack."""

_INITIAL_REVISION_RANGE = 2**48
"""From how many numbers the first revision is drawn."""

_MAXIMUM_REMOVED = 1_000
"""Removed servers that are remembered, for askers that have not heard of them:
an asker is a second behind at the most, and a thousand leave in hours."""

_MAXIMUM_ENCODED = 8
"""Encoded answers that are kept until the next change: followers of one instance
know one or two revisions, and those that start know none."""

_RESPONSE_GRACE_MS = 500.0
"""What the answer may take beyond that wait."""

FRESH_WAIT_MS = 700.0
"""How long an asker is kept while this instance has not heard the store yet:
listing two kinds takes some ten milliseconds, a start half a second."""

_FRESH_CHECK_INTERVAL_MS = 50.0
"""Pause between two looks whether it has."""

_LOG_FROM_BYTES = 32_768
"""An answer of this size has a line in the log: it takes 37 ms on a link of
7 Mbit/s, in which a query's answer waits."""

_COALESCE_MS = 15.0
"""Pause between a change and the answer, so that changes that come together
are sent together."""


class RelayedState(msgspec.Struct, frozen=True, omit_defaults=True):
    """What an instance that watches the store knows.

    Attributes
    ----------
    revision : int
        Rises with each change at this instance; not the store's revision.
    is_fresh : bool
        Whether the store answers the instance.
    configuration : Configuration or None
        The version in force, if it is new to the asker and cannot be told as a
        change.
    is_whole : bool
        Whether ``servers`` are all that there are, and not only those that
        have changed.
    servers : list of ServerEntry
        Servers that are new to the asker or have changed.
    removed : list of str
        The ids of servers that are gone.
    instances : list of InstanceEntry or None
        All instances, if the list is new to the asker.
    is_cut_off : bool
        Whether the instance cannot reach the servers, as those of its zone
        that ask none themselves cannot either.
    configuration_change : ConfigurationChange or None
        What leads from the asker's version to the one in force.
    may_lack_servers : bool
        Whether servers that live may be missing from ``servers``: the store was
        away, and they may not have written their entries again.
    evacuated : list of str or None
        All zones whose servers must get nothing, if that is new to the asker.
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
        """Whether a version is told, whole or as a change."""
        return self.configuration is not None or self.configuration_change is not None


class StateRequest(msgspec.Struct, frozen=True):
    """What an instance says when it asks another one.

    Attributes
    ----------
    known_revision : int
        The last revision that it had from the other one; 0 for none.
    known_version : int
        The version of the configuration that it has in force; 0 for none. The
        state of one that does not hear the store is of use only then: sent at
        every look while the store is away, it would fill the links.
    """

    known_revision: int
    known_version: int = 0


class LocalState(msgspec.Struct, frozen=True):
    """What an instance knows now: the newest of each.

    Attributes
    ----------
    configuration : Configuration or None
        The version in force, if one is known.
    servers : list of ServerEntry
        The servers that the store lists.
    instances : list of InstanceEntry
        All instances.
    stale : frozenset of str
        Servers that the store does not list and that are kept for a while, in
        case they have not written their entries again after an outage.
    may_lack_servers : bool
        Whether servers that live may be missing from ``servers``.
    evacuated : frozenset of str or None
        The zones whose servers must get nothing; None if that is not known.
    """

    configuration: Configuration | None
    servers: list[ServerEntry]
    instances: list[InstanceEntry]
    stale: frozenset[str] = frozenset()
    may_lack_servers: bool = False
    evacuated: frozenset[str] | None = None


class StateSource:
    """Answers other instances that ask for the store's state.

    An asker gets what has changed since the revision that it knows. Whole
    lists at each change would fill a small link for seconds while a new set
    of some hundred servers starts, and delay the queries on it.

    Parameters
    ----------
    state : callable
        Returns what this instance knows.
    is_fresh : callable
        Returns whether this instance watches the store, and it answers.
    may_become_fresh : callable
        Returns whether that may soon be so.
    is_cut_off : callable
        Returns whether this instance cannot reach the servers.
    clock : Clock
        The tier's clock.
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
        # Begins anywhere, so that a revision from before a restart is not
        # taken for one of this process; the time of day may go backwards.
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
        """Answer those that wait for a change at once.

        To be called when the store serves this instance no more, so that they
        turn elsewhere, and when it is cut off from other zones or no more: an
        instance that gathers nothing itself would go on taking callers for the
        second that its question may wait, and the balancer sends callers to a
        zone as long as any of its instances is ready.
        """
        self._changed.set()
        self._changed = trio.Event()

    def record_change(self) -> None:
        """Note that the configuration or a server may have changed."""
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
        """Take in the servers; return whether followers must hear of a change."""
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
        # Those that have only lapsed are not told to be gone.
        for server_id in self._entries.keys() - listed.keys() - state.stale:
            del self._entries[server_id]
            del self._revisions[server_id]
            self._removed[server_id] = revision
            changed = True
        return changed

    def _prune_removed(self) -> None:
        """Keep only the last removed servers; who is further back gets all."""
        while len(self._removed) > _MAXIMUM_REMOVED:
            oldest = next(iter(self._removed))
            self._oldest_revision = self._removed.pop(oldest)

    async def answer(self, request: StateRequest) -> bytes:
        """Return what has changed, at once or after a wait for a change."""
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
        """Return whether there is nothing to tell an asker.

        One that asked while its version changed may have got a change to
        another one than it had by then; it says so the next time.
        """
        has_version = request.known_version >= self._version
        return has_version and request.known_revision == self._revision

    def _encoded_for(self, request: StateRequest) -> bytes:
        """Return the encoded answer.

        All followers ask for the same change at once; encoded for each, it would take
        a source's memory and time that many times over.
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
        """Wait a moment for the store; an asker would go to the store itself."""
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
        """Return the newest version whole, or as a change, or neither."""
        if version >= self._version:
            return None, None
        change = self._history.change_since(version)
        return (self._history.newest if change is None else None), change


class StateClient(Protocol):
    """Asks one other instance for its state."""

    async def request(self, request: StateRequest, *, timeout_ms: float) -> bytes:
        """Return an encoded ``RelayedState``; raises ``OSError``."""

    def close(self) -> None:
        """Close the connection."""


async def request_state(
    client: StateClient, request: StateRequest, *, name: str
) -> RelayedState | None:
    """Ask another instance once.

    Parameters
    ----------
    client : StateClient
        Asks the instance.
    asked : StateRequest
        What is known here.
    name : str
        The instance, for the log.

    Returns
    -------
    RelayedState or None
        Its answer; None if it does not answer, which is logged.
    """
    try:
        data = await client.request(
            request, timeout_ms=_LONG_POLL_MS + _RESPONSE_GRACE_MS
        )
        if len(data) >= _LOG_FROM_BYTES:
            _LOG.info("%s passed on %d bytes.", name, len(data))
        return decode_state(data, RelayedState)
    except (OSError, msgspec.DecodeError) as error:
        _LOG.warning("%s does not pass on the state: %s.", name, error)
        return None
