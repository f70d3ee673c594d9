"""The view that this instance has of all entry instances."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from enum import IntEnum

import msgspec

from ibisfront.core.types import Address

__all__ = ["DIGEST_BUCKETS", "Member", "MemberState", "Members"]

DIGEST_BUCKETS = 64
"""Number of hash buckets used to locate the differences between two views."""


class MemberState(IntEnum):
    """State of a member; at equal incarnations, the larger value takes precedence."""

    LIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


_SERVING = frozenset((MemberState.LIVE, MemberState.SUSPECT))


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One entry instance.

    Attributes
    ----------
    name : str
        Unique name.
    zone : str
        Availability zone.
    peer_address, admin_address : str
        Addresses for its peers and for operators.
    incarnation : int
        Chosen at startup; only the member itself raises it, to refute a suspicion.
    state : MemberState
        State in the sender's view.
    """

    name: str
    zone: str
    peer_address: Address
    admin_address: Address
    incarnation: int = 0
    state: MemberState = MemberState.LIVE


class Members:
    """Every known entry instance, this one included.

    Parameters
    ----------
    own : Member
        The entry of this instance.
    """

    __slots__ = (
        "_buckets",
        "_digest",
        "_listeners",
        "_members",
        "_serving",
        "own_name",
    )

    def __init__(self, own: Member) -> None:
        self.own_name = own.name
        self._members: dict[str, Member] = {}
        self._buckets = [0] * DIGEST_BUCKETS
        self._digest = 0
        self._serving = 0
        self._listeners: list[Callable[[Member], None]] = []
        self._replace(own)

    @property
    def own(self) -> Member:
        """The entry of this instance."""
        return self._members[self.own_name]

    @property
    def alone(self) -> bool:
        """Whether no other member is live or suspect."""
        return self._serving <= 1

    @property
    def digest(self) -> int:
        """Digest of all live and suspect members; equal for equal views."""
        return self._digest

    @property
    def bucket_digests(self) -> tuple[int, ...]:
        """The digest of each bucket of members."""
        return tuple(self._buckets)

    def in_bucket(self, bucket: int) -> list[Member]:
        """Return the members of one bucket, in any state."""
        return [item for item in self._members.values() if _bucket(item.name) == bucket]

    def subscribe(self, listener: Callable[[Member], None]) -> None:
        """Register a function that is called with each changed member."""
        self._listeners.append(listener)

    def get(self, name: str) -> Member | None:
        """Return a member in any state, or None if it is unknown."""
        return self._members.get(name)

    def live(self) -> list[Member]:
        """Return the live and suspect members, sorted by name."""
        return self._in_states(MemberState.LIVE, MemberState.SUSPECT)

    def expected(self) -> list[Member]:
        """Return the members that have not left; dead ones may only be partitioned."""
        return self._in_states(MemberState.LIVE, MemberState.SUSPECT, MemberState.DEAD)

    def in_state(self, state: MemberState) -> list[Member]:
        """Return the members in one state, sorted by name."""
        return self._in_states(state)

    def merge(self, member: Member) -> bool:
        """Apply an update of a member; return whether it changed the view."""
        known = self._members.get(member.name)
        if known is not None and _rank(known) >= _rank(member):
            return False
        # A tombstone already removed here can return from an instance that
        # still holds it; accepting it would make it circulate indefinitely.
        if known is None and member.state not in _SERVING:
            return False
        self._replace(member)
        for listener in self._listeners:
            listener(member)
        return True

    def remove(self, name: str) -> None:
        """Remove a member that is dead or has left."""
        known = self._members.get(name)
        if known is not None and known.state not in _SERVING:
            del self._members[name]

    def _replace(self, member: Member) -> None:
        known = self._members.get(member.name)
        bucket = _bucket(member.name)
        digest_change = _fingerprint(member)
        if known is not None:
            digest_change ^= _fingerprint(known)
        self._members[member.name] = member
        self._buckets[bucket] ^= digest_change
        self._digest ^= digest_change
        self._serving += member.state in _SERVING
        self._serving -= known is not None and known.state in _SERVING

    def _in_states(self, *states: MemberState) -> list[Member]:
        found = [item for item in self._members.values() if item.state in states]
        return sorted(found, key=lambda member: member.name)


def _rank(member: Member) -> tuple[int, MemberState]:
    return member.incarnation, member.state


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


def _bucket(name: str) -> int:
    return _hash(name) % DIGEST_BUCKETS


def _fingerprint(member: Member) -> int:
    # Instances remove tombstones at different times, which must not trigger a
    # comparison of views.
    if member.state not in _SERVING:
        return 0
    return _hash(f"{member.name}\0{member.incarnation}\0{member.state}")
