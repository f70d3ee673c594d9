"""Passing the store's state on from the instances that watch it."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Protocol

import msgspec
import trio

from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.configuration import Configuration
from ibisfront.gateway.instances import InstanceEntry
from ibisfront.gateway.server import ServerEntry

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisfront.core.clock import Clock

__all__ = [
    "FRESH_WAIT_MS",
    "AskedState",
    "KnownState",
    "RelayedState",
    "StateClient",
    "StateSource",
    "ask_state",
]

_LOG = part_logger(LogPart.PEERS)

_WAIT_MS = 1_000.0
"""How long a question waits for a change: a source that has died or gone
silent is noticed after this and the slack."""

_REVISION_STARTS = 2**48
"""From how many numbers the first revision is drawn."""

_REMOVED_KEPT = 1_000
"""Removed servers that are remembered, for askers that have not heard of them:
an asker is a second behind at the most, and a thousand leave in hours."""

_SLACK_MS = 500.0
"""What the answer may take beyond that wait."""

FRESH_WAIT_MS = 700.0
"""How long an asker is kept while this instance has not heard the store yet:
listing two kinds takes some ten milliseconds, a start half a second."""

_FRESH_CHECK_MS = 50.0
"""Pause between two looks whether it has."""

_LARGE_BYTES = 32_768
"""An answer of this size has a line in the log: it takes 37 ms on a link of
7 Mbit/s, in which a query's answer waits."""

_COALESCE_MS = 15.0
"""Pause between a change and the answer, so that changes that come together
are sent together."""


class RelayedState(msgspec.Struct, frozen=True):
    """What an instance that watches the store knows.

    Attributes
    ----------
    revision : int
        Rises with each change at this instance; not the store's revision.
    is_fresh : bool
        Whether the store answers the instance.
    configuration : Configuration or None
        The version in force, if it is new to the asker.
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
    """

    revision: int
    is_fresh: bool
    configuration: Configuration | None = None
    is_whole: bool = False
    servers: list[ServerEntry] = []
    removed: list[str] = []
    instances: list[InstanceEntry] | None = None
    is_cut_off: bool = False


class AskedState(msgspec.Struct, frozen=True):
    """What an instance says when it asks another one.

    Attributes
    ----------
    known_revision : int
        The last revision that it had from the other one; 0 for none.
    takes_old : bool
        Whether the state of one that does not hear the store is of use too,
        as the asker knows none. Sent at every look while the store is away,
        it would fill the links: 20 instances passed on 6.6 MB in ten seconds
        of an outage, counted in mock time with 300 servers.
    """

    known_revision: int
    takes_old: bool = False


class KnownState(msgspec.Struct, frozen=True):
    """What an instance knows now: the newest of each."""

    configuration: Configuration | None
    servers: list[ServerEntry]
    instances: list[InstanceEntry]


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
        "_configuration_revision",
        "_first",
        "_instances",
        "_instances_revision",
        "_is_cut_off",
        "_is_fresh",
        "_known",
        "_may_become_fresh",
        "_removed",
        "_revision",
        "_revisions",
        "_state",
        "_version",
    )

    def __init__(
        self,
        *,
        state: Callable[[], KnownState],
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
        self._revision = secrets.randbelow(_REVISION_STARTS) + 1
        self._changed = trio.Event()
        self._known: dict[str, ServerEntry] = {}
        self._revisions: dict[str, int] = {}
        self._removed: dict[str, int] = {}
        self._version = 0
        self._configuration_revision = self._revision
        self._instances_revision = self._revision
        self._first = self._revision

    def wake_askers(self) -> None:
        """Answer those that wait for a change at once.

        To be called when the store serves this instance no more, so that they
        turn elsewhere, and when it is cut off from other zones or no more: an
        instance that gathers nothing itself would go on taking callers for the
        second that its question may wait, and the balancer sends callers to a
        zone as long as any of its instances is ready.
        """
        self._changed.set()
        self._changed = trio.Event()

    def note_change(self) -> None:
        """Note that the configuration or a server may have changed."""
        state = self._state()
        revision = self._revision + 1
        version = 0 if state.configuration is None else state.configuration.version
        changed = version != self._version
        if changed:
            self._version, self._configuration_revision = version, revision
        if state.instances != self._instances:
            self._instances, self._instances_revision = state.instances, revision
            changed = True
        listed = {entry.server_id: entry for entry in state.servers}
        for server_id, entry in listed.items():
            if self._known.get(server_id) != entry:
                self._revisions[server_id] = revision
                self._removed.pop(server_id, None)
                changed = True
        for server_id in self._known.keys() - listed.keys():
            del self._revisions[server_id]
            self._removed[server_id] = revision
            changed = True
        self._forget_removed()
        if changed:
            self._known = listed
            self._revision = revision
            self.wake_askers()

    def _forget_removed(self) -> None:
        """Keep only the last removed servers; who is further back gets all."""
        while len(self._removed) > _REMOVED_KEPT:
            oldest = next(iter(self._removed))
            self._first = self._removed.pop(oldest)

    async def answer(self, asked: AskedState) -> bytes:
        """Return what has changed, at once or after a wait for a change."""
        if not self._is_fresh():
            await self._wait_until_fresh()
        elif asked.known_revision == self._revision:
            with self._clock.timeout_ms(_WAIT_MS):
                await self._changed.wait()
                if self._is_fresh():
                    await self._clock.sleep_ms(_COALESCE_MS)
        return msgspec.msgpack.encode(self._state_for(asked))

    def _state_for(self, asked: AskedState) -> RelayedState:
        is_fresh = self._is_fresh()
        is_of_use = is_fresh or asked.takes_old
        if asked.known_revision == self._revision or not is_of_use:
            is_cut_off = self._is_cut_off()
            return RelayedState(self._revision, is_fresh, is_cut_off=is_cut_off)
        return self._since(asked.known_revision)

    async def _wait_until_fresh(self) -> None:
        """Wait a moment for the store; an asker would go to the store itself."""
        until_ms = self._clock.now_ms() + FRESH_WAIT_MS
        while self._may_become_fresh() and self._clock.now_ms() < until_ms:
            await self._clock.sleep_ms(_FRESH_CHECK_MS)

    def _since(self, known_revision: int) -> RelayedState:
        is_whole = not self._first <= known_revision < self._revision
        since = 0 if is_whole else known_revision
        configuration = None
        if self._configuration_revision > since:
            configuration = self._state().configuration
        instances = None
        if self._instances_revision > since:
            instances = self._instances
        return RelayedState(
            revision=self._revision,
            is_fresh=self._is_fresh(),
            configuration=configuration,
            is_whole=is_whole,
            servers=[
                entry
                for server_id, entry in self._known.items()
                if self._revisions[server_id] > since
            ],
            removed=[
                server_id
                for server_id, revision in self._removed.items()
                if revision > since and not is_whole
            ],
            instances=instances,
            is_cut_off=self._is_cut_off(),
        )


class StateClient(Protocol):
    """Asks one other instance for its state."""

    async def ask(self, asked: AskedState, *, timeout_ms: float) -> bytes:
        """Return an encoded ``RelayedState``; raises ``OSError``."""

    def close(self) -> None:
        """Close the connection."""


async def ask_state(
    client: StateClient, asked: AskedState, *, name: str
) -> RelayedState | None:
    """Ask another instance once.

    Parameters
    ----------
    client : StateClient
        Asks the instance.
    asked : AskedState
        What is known here.
    name : str
        The instance, for the log.

    Returns
    -------
    RelayedState or None
        Its answer; None if it does not answer, which is logged.
    """
    try:
        data = await client.ask(asked, timeout_ms=_WAIT_MS + _SLACK_MS)
        if len(data) >= _LARGE_BYTES:
            _LOG.info("%s passed on %d bytes.", name, len(data))
        return msgspec.msgpack.decode(data, type=RelayedState)
    except (OSError, msgspec.DecodeError) as error:
        _LOG.warning("%s does not pass on the state: %s.", name, error)
        return None
