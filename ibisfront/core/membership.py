"""Group membership: joining, failure detection and leaving.

Each instance monitors the neighbours that it dials. A silent neighbour becomes
suspect, and dead unless the suspicion is refuted in time; only the member
itself refutes it, with a larger incarnation. An update is forwarded to all
neighbours if and only if it changed the local view. Heartbeats carry a digest
of the view, and views that differ are compared bucket by bucket.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.core.counters import CounterKind
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.core.members import Member, MemberState
from ibisfront.core.overlay import neighbour_names
from ibisfront.core.peers import PeerMessage

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.members import Members
    from ibisfront.core.peers import Peers

__all__ = ["MemberUpdate", "Membership", "ViewsCompared"]

SUSPECT_AFTER_MS = 3000.0
"""Silence after which a neighbour is suspected."""

DEAD_AFTER_MS = 5000.0
"""Time after which a suspicion that is not refuted makes a member dead."""

LEFT_RETENTION_MS = 600_000.0
"""Time after which a member that left is removed."""

DEAD_RETENTION_MS = 7_200_000.0
"""Time after which a dead member that the platform does not list is removed."""

DEAD_RETRY_INTERVAL_MS = 5000.0
"""Mean interval between connection attempts to dead members."""

_TICK_MS = 250.0
_LATE_TICK_MS = 500.0
_BATCH_DELAY_MS = 20.0
_CLEANUP_INTERVAL_MS = 10_000.0
_COMPARISON_INTERVAL_MS = 1000.0
_MISMATCHES_BEFORE_COMPARISON = 2
_MEMBERS_PER_UPDATE = 200
_MINIMUM_REFUTATION_INTERVAL_MS = 1000.0
_MAXIMUM_SUSPECT_AFTER_MS = 60_000.0
_LOG = part_logger(LogPart.MEMBERS)


class MemberUpdate(PeerMessage, frozen=True, tag="member_news"):
    """The sender's view of some members."""

    members: tuple[Member, ...]


class ViewsCompared(PeerMessage, frozen=True, tag="views_compared"):
    """The bucket digests of a sender whose view differs from the receiver's."""

    buckets: tuple[int, ...]


class _NeighbourLiveness(msgspec.Struct):
    """Failure detection state of one neighbour.

    Attributes
    ----------
    received_at_ms : float
        When the last message arrived, or when it became a neighbour.
    suspect_after_ms : float
        Silence after which it is suspected; doubled whenever it refutes a
        suspicion via another instance.
    """

    received_at_ms: float
    suspect_after_ms: float = SUSPECT_AFTER_MS


class Membership:
    """Maintains the view of the members and selects the neighbours.

    Parameters
    ----------
    members : Members
        The view.
    peers : Peers
        The other instances.
    clock : Clock
        The tier's clock.
    counters : Counters
        Counts changes by the new state of the member.
    random : random.Random
        Selects the dead member to retry.
    """

    __slots__ = (
        "_changed_at_ms",
        "_clock",
        "_counters",
        "_listed_names",
        "_liveness",
        "_members",
        "_mismatches",
        "_neighbours",
        "_next_comparison_at_ms",
        "_peers",
        "_pending",
        "_pending_event",
        "_random",
        "_refuted_at_ms",
        "_suspected_at_ms",
        "leaving",
        "neighbours_changed",
    )

    def __init__(
        self,
        members: Members,
        *,
        peers: Peers,
        clock: Clock,
        counters: Counters,
        random: Random,
    ) -> None:
        self._members = members
        self._peers = peers
        self._clock = clock
        self._counters = counters
        self._random = random
        self._liveness: dict[str, _NeighbourLiveness] = {}
        self._suspected_at_ms: dict[str, float] = {}
        self._changed_at_ms: dict[str, float] = {}
        self._mismatches: dict[str, int] = {}
        self._next_comparison_at_ms = float("-inf")
        self._refuted_at_ms = float("-inf")
        self._listed_names: frozenset[str] = frozenset()
        self._neighbours: frozenset[str] | None = None
        self._pending: dict[str, Member] = {}
        self._pending_event = trio.Event()
        self.neighbours_changed = trio.Event()
        self.leaving = False
        members.subscribe(self._member_changed)
        peers.handle(MemberUpdate, self._update_received)
        peers.handle(ViewsCompared, self._views_compared)

    @property
    def neighbours(self) -> frozenset[str]:
        """The names of the members that this instance keeps a stream to."""
        if self._neighbours is None:
            self._neighbours = neighbour_names(self._members.own, self._members.live())
        return self._neighbours

    def handshake_completed(self, member: Member) -> None:
        """Apply the member that introduced itself on a new stream."""
        self._apply(member)
        self._message_received(member.name)

    def heartbeat_received(self, sender: str, digest: int) -> None:
        """Process a heartbeat of a peer and the digest of its view."""
        self._message_received(sender)
        if digest == self._members.digest:
            self._mismatches.pop(sender, None)
            return
        mismatches = self._mismatches.get(sender, 0) + 1
        self._mismatches[sender] = mismatches
        now_ms = self._clock.now_ms()
        # Updates in transit make views differ briefly, which needs no comparison.
        # One comparison at a time fetches a difference only once, although all
        # neighbours report it.
        if now_ms < self._next_comparison_at_ms:
            return
        if mismatches >= _MISMATCHES_BEFORE_COMPARISON or self._members.alone:
            self._next_comparison_at_ms = now_ms + _COMPARISON_INTERVAL_MS
            self._mismatches[sender] = 0
            buckets = self._members.bucket_digests
            self._peers.send(sender, ViewsCompared(buckets))

    def ingest_instance_list(self, listed: Iterable[Member]) -> None:
        """Add the instances on the platform's list that are not yet known.

        The list lags behind, so it does not change a known member; it only
        prevents the removal of a dead one.
        """
        listed = tuple(listed)
        self._listed_names = frozenset(member.name for member in listed)
        for member in listed:
            if self._members.get(member.name) is None:
                self._apply(member)

    def leave(self) -> None:
        """Notify the peers that this instance is leaving."""
        self.leaving = True
        left = msgspec.structs.replace(self._members.own, state=MemberState.LEFT)
        self._members.merge(left)
        self._peers.send_neighbours(MemberUpdate((left,)))

    def raise_incarnation(self) -> None:
        """Raise the own incarnation after a pause that peers may have detected."""
        own = self._members.own
        if not self.leaving:
            self._apply(msgspec.structs.replace(own, incarnation=own.incarnation + 1))
        self._clear_suspicion()

    async def run(self) -> None:
        """Monitor the neighbours and send updates, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._monitor)
            nursery.start_soon(self._flush)
            nursery.start_soon(self._clean_up)

    async def _monitor(self) -> None:
        due_ms = self._clock.now_ms()
        while True:
            due_ms += _TICK_MS
            await self._clock.sleep_ms(due_ms - self._clock.now_ms())
            late_ms = self._clock.now_ms() - due_ms
            if late_ms > _LATE_TICK_MS:
                # A late tick means that this process was frozen or starved of
                # CPU, so the silence of the neighbours proves nothing.
                self._clear_suspicion()
                due_ms = self._clock.now_ms()
            self._suspect_silent()
            self._declare_dead()

    async def _clean_up(self) -> None:
        while True:
            await self._clock.sleep_ms(_CLEANUP_INTERVAL_MS)
            self._remove_expired()

    async def _flush(self) -> None:
        while True:
            await self._pending_event.wait()
            await self._clock.sleep_ms(_BATCH_DELAY_MS)
            self._pending_event = trio.Event()
            updated = tuple(self._pending.values())
            self._pending.clear()
            for start in range(0, len(updated), _MEMBERS_PER_UPDATE):
                batch = updated[start : start + _MEMBERS_PER_UPDATE]
                self._peers.send_neighbours(MemberUpdate(batch))

    def dead_to_retry(self) -> Member | None:
        """Return a random dead member to retry, or None if there is none."""
        dead = self._members.in_state(MemberState.DEAD)
        return self._random.choice(dead) if dead else None

    def _update_received(self, sender: str, message: MemberUpdate) -> None:
        for member in message.members:
            self._apply(member)

    def _views_compared(self, sender: str, message: ViewsCompared) -> None:
        own = self._members.bucket_digests
        differing = [
            bucket
            for bucket, digest in enumerate(message.buckets[: len(own)])
            if own[bucket] != digest
        ]
        found = [
            member for bucket in differing for member in self._members.in_bucket(bucket)
        ]
        for start in range(0, len(found), _MEMBERS_PER_UPDATE):
            batch = tuple(found[start : start + _MEMBERS_PER_UPDATE])
            self._peers.send(sender, MemberUpdate(batch))

    def _apply(self, member: Member) -> None:
        if member.name == self._members.own_name:
            self._apply_own(member)
            return
        known = self._members.get(member.name)
        if not self._members.merge(member):
            return
        if known is not None and known.state is MemberState.SUSPECT:
            self._suspicion_refuted(member)
        self._broadcast(member)

    def _apply_own(self, member: Member) -> None:
        own = self._members.own
        if self.leaving or member.incarnation < own.incarnation:
            return
        if member.incarnation == own.incarnation and member.state is MemberState.LIVE:
            return
        # Two instances with the same name would refute each other indefinitely.
        # A refutation this soon after the last one indicates that: no peer can
        # have suspected the new incarnation yet.
        now_ms = self._clock.now_ms()
        if now_ms - self._refuted_at_ms < _MINIMUM_REFUTATION_INTERVAL_MS:
            self._counters.add(CounterKind.MEMBER_CHANGES, "name_taken")
            return
        self._refuted_at_ms = now_ms
        if member.peer_address != own.peer_address:
            _LOG.warning(
                "%s at %s uses the name of this instance.",
                member.name,
                member.peer_address,
            )
        # Another instance considers this one suspect, dead or left, or holds an
        # incarnation of an earlier process whose clock was ahead.
        refuted = msgspec.structs.replace(own, incarnation=member.incarnation + 1)
        self._counters.add(CounterKind.MEMBER_CHANGES, "refuted")
        self._members.merge(refuted)
        self._broadcast(refuted)

    def _suspicion_refuted(self, member: Member) -> None:
        liveness = self._liveness.get(member.name)
        if liveness is None or member.state is not MemberState.LIVE:
            return
        # The path to a member can fail while others reach it: it refutes the
        # suspicion but stays silent here. Without a longer timeout every round
        # would be broadcast to the whole fleet.
        liveness.received_at_ms = self._clock.now_ms()
        liveness.suspect_after_ms = min(
            liveness.suspect_after_ms * 2, _MAXIMUM_SUSPECT_AFTER_MS
        )

    def _broadcast(self, member: Member) -> None:
        self._pending[member.name] = member
        self._pending_event.set()

    def _member_changed(self, member: Member) -> None:
        self._neighbours = None
        self._changed_at_ms[member.name] = self._clock.now_ms()
        if member.state is MemberState.SUSPECT:
            self._suspected_at_ms[member.name] = self._clock.now_ms()
        else:
            self._suspected_at_ms.pop(member.name, None)
        self.neighbours_changed.set()
        self.neighbours_changed = trio.Event()
        if member.name != self._members.own_name:
            reason = member.state.name.lower()
            self._counters.add(CounterKind.MEMBER_CHANGES, reason)
            _LOG.info("%s is %s.", member.name, reason)

    def _message_received(self, name: str) -> None:
        liveness = self._liveness.get(name)
        if liveness is not None:
            liveness.received_at_ms = self._clock.now_ms()
            liveness.suspect_after_ms = SUSPECT_AFTER_MS
        known = self._members.get(name)
        if known is not None and known.state is not MemberState.LIVE:
            # The member sends messages although it is not live here: it may have
            # missed the update, and must receive it to be able to refute it.
            self._peers.send(name, MemberUpdate((known,)))

    def _clear_suspicion(self) -> None:
        now_ms = self._clock.now_ms()
        for liveness in self._liveness.values():
            liveness.received_at_ms = now_ms
        for name in self._suspected_at_ms:
            self._suspected_at_ms[name] = now_ms

    def _suspect_silent(self) -> None:
        now_ms = self._clock.now_ms()
        self._liveness = {
            name: self._liveness.get(name) or _NeighbourLiveness(now_ms)
            for name in self.neighbours
        }
        for name, liveness in self._liveness.items():
            if now_ms - liveness.received_at_ms < liveness.suspect_after_ms:
                continue
            member = self._members.get(name)
            if member is not None and member.state is MemberState.LIVE:
                suspect = msgspec.structs.replace(member, state=MemberState.SUSPECT)
                self._apply(suspect)

    def _declare_dead(self) -> None:
        now_ms = self._clock.now_ms()
        for name, suspected_at_ms in list(self._suspected_at_ms.items()):
            member = self._members.get(name)
            if member is None or now_ms - suspected_at_ms < DEAD_AFTER_MS:
                continue
            self._apply(msgspec.structs.replace(member, state=MemberState.DEAD))

    def _remove_expired(self) -> None:
        now_ms = self._clock.now_ms()
        for state, retention_ms in (
            (MemberState.LEFT, LEFT_RETENTION_MS),
            (MemberState.DEAD, DEAD_RETENTION_MS),
        ):
            for member in self._members.in_state(state):
                changed_at_ms = self._changed_at_ms.get(member.name, now_ms)
                if now_ms - changed_at_ms < retention_ms:
                    continue
                if state is MemberState.DEAD and member.name in self._listed_names:
                    continue
                self._members.remove(member.name)
                self._changed_at_ms.pop(member.name, None)
