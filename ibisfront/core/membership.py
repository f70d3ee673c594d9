"""Keeping the view of the members: joining, suspicion, death, leaving.

Each instance watches the neighbours that it dials. One that is silent becomes
suspect, and dead when nobody refutes that in time; only the member itself
refutes, by a larger incarnation. News goes to all neighbours when, and only
when, it was news here. Heartbeats carry a digest of the view, and two views
that differ are compared bucket by bucket.
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

__all__ = ["MemberNews", "Membership", "ViewsCompared"]

SUSPECT_AFTER_MS = 3000.0
"""After how long a silence a neighbour is suspected."""

DEAD_AFTER_MS = 5000.0
"""After how long a suspicion nobody refuted a member counts as dead."""

FORGET_LEFT_MS = 600_000.0
"""After how long a member that left is forgotten."""

FORGET_DEAD_MS = 7_200_000.0
"""After how long a dead member is forgotten, unless the platform lists it."""

RETRY_DEAD_MS = 5000.0
"""How often, on average, one dead member is tried again."""

_TICK_MS = 250.0
_LATE_TICK_MS = 500.0
_FLUSH_MS = 20.0
_FORGET_EVERY_MS = 10_000.0
_COMPARE_AGAIN_MS = 1000.0
_DIFFERENT_HEARTBEATS = 2
_NEWS_MEMBERS = 200
_REFUTE_AGAIN_MS = 1000.0
_LONGEST_SUSPECT_AFTER_MS = 60_000.0
_LOG = part_logger(LogPart.MEMBERS)


class MemberNews(PeerMessage, frozen=True, tag="member_news"):
    """What the sender believes of some members."""

    members: tuple[Member, ...]


class ViewsCompared(PeerMessage, frozen=True, tag="views_compared"):
    """The digest of each bucket of the sender's view, which differs."""

    buckets: tuple[int, ...]


class _Doubt(msgspec.Struct):
    """What this instance has not yet heard of one neighbour.

    Attributes
    ----------
    heard_at_ms : float
        When it was last heard, or became a neighbour.
    patience_ms : float
        After how long a silence it is suspected; doubled each time that
        somebody else heard it refute that.
    """

    heard_at_ms: float
    patience_ms: float = SUSPECT_AFTER_MS


class Membership:
    """Keeps the members up to date, and says who the neighbours are.

    Parameters
    ----------
    members : Members
        The view.
    peers : Peers
        The other instances.
    clock : Clock
        The tier's clock.
    counters : Counters
        Where changes are counted by what became of a member.
    random : random.Random
        Decides which dead member is tried next.
    """

    __slots__ = (
        "_changed_at_ms",
        "_clock",
        "_compare_at_ms",
        "_counters",
        "_different",
        "_doubts",
        "_listed",
        "_members",
        "_neighbours",
        "_news",
        "_news_event",
        "_peers",
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
        self._doubts: dict[str, _Doubt] = {}
        self._suspected_at_ms: dict[str, float] = {}
        self._changed_at_ms: dict[str, float] = {}
        self._different: dict[str, int] = {}
        self._compare_at_ms = float("-inf")
        self._refuted_at_ms = float("-inf")
        self._listed: frozenset[str] = frozenset()
        self._neighbours: frozenset[str] | None = None
        self._news: dict[str, Member] = {}
        self._news_event = trio.Event()
        self.neighbours_changed = trio.Event()
        self.leaving = False
        members.subscribe(self._member_changed)
        peers.handle(MemberNews, self._news_heard)
        peers.handle(ViewsCompared, self._views_compared)

    @property
    def neighbours(self) -> frozenset[str]:
        """The names of the members that this instance keeps a stream to."""
        if self._neighbours is None:
            self._neighbours = neighbour_names(self._members.own, self._members.live())
        return self._neighbours

    def greeted(self, member: Member) -> None:
        """Take in a member that has just said who it is on a new stream."""
        self._take(member)
        self._heard(member.name)

    def heard(self, sender: str, digest: int) -> None:
        """Note a heartbeat of a peer and the digest of its view."""
        self._heard(sender)
        if digest == self._members.digest:
            self._different.pop(sender, None)
            return
        different = self._different.get(sender, 0) + 1
        self._different[sender] = different
        now_ms = self._clock.now_ms()
        # News under way makes two views differ for a moment, which needs no
        # comparison; and one comparison at a time fetches a difference once,
        # though every neighbour shows it.
        if now_ms < self._compare_at_ms:
            return
        if different >= _DIFFERENT_HEARTBEATS or self._members.alone:
            self._compare_at_ms = now_ms + _COMPARE_AGAIN_MS
            self._different[sender] = 0
            buckets = self._members.bucket_digests
            self._peers.send(sender, ViewsCompared(buckets))

    def list_read(self, listed: Iterable[Member]) -> None:
        """Take in the platform's list of instances: first contacts only.

        The list lags, so that it decides nothing about a member that is known
        here; it only keeps a dead one from being forgotten.
        """
        listed = tuple(listed)
        self._listed = frozenset(member.name for member in listed)
        for member in listed:
            if self._members.get(member.name) is None:
                self._take(member)

    def leave(self) -> None:
        """Tell the peers that this instance is leaving."""
        self.leaving = True
        left = msgspec.structs.replace(self._members.own, state=MemberState.LEFT)
        self._members.merge(left)
        self._peers.send_neighbours(MemberNews((left,)))

    def renew(self) -> None:
        """Raise the own incarnation, after a pause that others may have seen."""
        own = self._members.own
        if not self.leaving:
            self._take(msgspec.structs.replace(own, incarnation=own.incarnation + 1))
        self._forgive()

    async def run(self) -> None:
        """Watch the neighbours and send news, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            nursery.start_soon(self._flush)
            nursery.start_soon(self._forget)

    async def _watch(self) -> None:
        due_ms = self._clock.now_ms()
        while True:
            due_ms += _TICK_MS
            await self._clock.sleep_ms(due_ms - self._clock.now_ms())
            late_ms = self._clock.now_ms() - due_ms
            if late_ms > _LATE_TICK_MS:
                # This process was frozen or starved, not the neighbours. It
                # shows as a tick that is late; what was not heard meanwhile
                # proves nothing, and counts from now.
                self._forgive()
                due_ms = self._clock.now_ms()
            self._suspect_silent()
            self._bury_suspects()

    async def _forget(self) -> None:
        while True:
            await self._clock.sleep_ms(_FORGET_EVERY_MS)
            self._forget_old()

    async def _flush(self) -> None:
        while True:
            await self._news_event.wait()
            await self._clock.sleep_ms(_FLUSH_MS)
            self._news_event = trio.Event()
            news = tuple(self._news.values())
            self._news.clear()
            for start in range(0, len(news), _NEWS_MEMBERS):
                part = news[start : start + _NEWS_MEMBERS]
                self._peers.send_neighbours(MemberNews(part))

    def dead_to_retry(self) -> Member | None:
        """Return a dead member to try again, drawn at random; None if none is."""
        dead = self._members.in_state(MemberState.DEAD)
        return self._random.choice(dead) if dead else None

    def _news_heard(self, sender: str, message: MemberNews) -> None:
        for member in message.members:
            self._take(member)

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
        for start in range(0, len(found), _NEWS_MEMBERS):
            part = tuple(found[start : start + _NEWS_MEMBERS])
            self._peers.send(sender, MemberNews(part))

    def _take(self, member: Member) -> None:
        if member.name == self._members.own_name:
            self._take_own(member)
            return
        known = self._members.get(member.name)
        if not self._members.merge(member):
            return
        if known is not None and known.state is MemberState.SUSPECT:
            self._refuted(member)
        self._say(member)

    def _take_own(self, member: Member) -> None:
        own = self._members.own
        if self.leaving or member.incarnation < own.incarnation:
            return
        if member.incarnation == own.incarnation and member.state is MemberState.LIVE:
            return
        # Two instances started under one name would refute each other without
        # end. It shows as a refutation right after the last one, which nobody
        # can have doubted yet.
        now_ms = self._clock.now_ms()
        if now_ms - self._refuted_at_ms < _REFUTE_AGAIN_MS:
            self._counters.add(CounterKind.MEMBER_CHANGES, "name_taken")
            return
        self._refuted_at_ms = now_ms
        if member.peer_address != own.peer_address:
            _LOG.warning("%s at %s has this name.", member.name, member.peer_address)
        # Another instance believes this one suspect, dead or gone, or knows
        # an incarnation of an earlier life whose clock was ahead.
        refuted = msgspec.structs.replace(own, incarnation=member.incarnation + 1)
        self._counters.add(CounterKind.MEMBER_CHANGES, "refuted")
        self._members.merge(refuted)
        self._say(refuted)

    def _refuted(self, member: Member) -> None:
        doubt = self._doubts.get(member.name)
        if doubt is None or member.state is not MemberState.LIVE:
            return
        # The path from here to a member may be cut while others reach it. It
        # shows as a refutation by news of a member that stays silent here:
        # without more patience each round would go through the whole fleet.
        doubt.heard_at_ms = self._clock.now_ms()
        doubt.patience_ms = min(doubt.patience_ms * 2, _LONGEST_SUSPECT_AFTER_MS)

    def _say(self, member: Member) -> None:
        self._news[member.name] = member
        self._news_event.set()

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

    def _heard(self, name: str) -> None:
        doubt = self._doubts.get(name)
        if doubt is not None:
            doubt.heard_at_ms = self._clock.now_ms()
            doubt.patience_ms = SUSPECT_AFTER_MS
        known = self._members.get(name)
        if known is not None and known.state is not MemberState.LIVE:
            # The news may have missed the member itself, which then cannot
            # refute it. It shows as life from one that does not count as live.
            self._peers.send(name, MemberNews((known,)))

    def _forgive(self) -> None:
        now_ms = self._clock.now_ms()
        for doubt in self._doubts.values():
            doubt.heard_at_ms = now_ms
        for name in self._suspected_at_ms:
            self._suspected_at_ms[name] = now_ms

    def _suspect_silent(self) -> None:
        now_ms = self._clock.now_ms()
        self._doubts = {
            name: self._doubts.get(name) or _Doubt(now_ms) for name in self.neighbours
        }
        for name, doubt in self._doubts.items():
            if now_ms - doubt.heard_at_ms < doubt.patience_ms:
                continue
            member = self._members.get(name)
            if member is not None and member.state is MemberState.LIVE:
                suspect = msgspec.structs.replace(member, state=MemberState.SUSPECT)
                self._take(suspect)

    def _bury_suspects(self) -> None:
        now_ms = self._clock.now_ms()
        for name, since_ms in list(self._suspected_at_ms.items()):
            member = self._members.get(name)
            if member is None or now_ms - since_ms < DEAD_AFTER_MS:
                continue
            self._take(msgspec.structs.replace(member, state=MemberState.DEAD))

    def _forget_old(self) -> None:
        now_ms = self._clock.now_ms()
        for state, after_ms in (
            (MemberState.LEFT, FORGET_LEFT_MS),
            (MemberState.DEAD, FORGET_DEAD_MS),
        ):
            for member in self._members.in_state(state):
                changed_at_ms = self._changed_at_ms.get(member.name, now_ms)
                if now_ms - changed_at_ms < after_ms:
                    continue
                if state is MemberState.DEAD and member.name in self._listed:
                    continue
                self._members.forget(member.name)
                self._changed_at_ms.pop(member.name, None)
