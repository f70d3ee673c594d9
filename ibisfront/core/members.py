"""The entry instances, as this one sees them."""

from __future__ import annotations

from enum import IntEnum

import msgspec

from ibisfront.core.types import Address

__all__ = ["Member", "MemberState", "Members"]


class MemberState(IntEnum):
    """What is believed of a member; at one incarnation, the larger wins."""

    LIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(msgspec.Struct, frozen=True):
    """One entry instance.

    Attributes
    ----------
    name : str
        Its name.
    zone : str
        Its availability zone.
    peer_address, admin_address : str
        Where its peers and its operators reach it.
    incarnation : int
        Chosen at its start and raised by itself only, to refute a suspicion.
    state : MemberState
        What is believed of it.
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
        This instance.
    """

    __slots__ = ("_members", "own_name")

    def __init__(self, own: Member) -> None:
        self.own_name = own.name
        self._members = {own.name: own}

    @property
    def own(self) -> Member:
        """The member that this instance is."""
        return self._members[self.own_name]

    def get(self, name: str) -> Member | None:
        """Return a member, whatever its state, or None if it is unknown."""
        return self._members.get(name)

    def live(self) -> list[Member]:
        """Return the members believed to serve (suspects too), by name."""
        return self._in_states(MemberState.LIVE, MemberState.SUSPECT)

    def expected(self) -> list[Member]:
        """Return the members that have not left: the dead may only be cut off."""
        return self._in_states(MemberState.LIVE, MemberState.SUSPECT, MemberState.DEAD)

    def merge(self, member: Member) -> bool:
        """Take in news of a member; return whether it was news."""
        known = self._members.get(member.name)
        if known is not None and _rank(known) >= _rank(member):
            return False
        self._members[member.name] = member
        return True

    def _in_states(self, *states: MemberState) -> list[Member]:
        found = [item for item in self._members.values() if item.state in states]
        return sorted(found, key=lambda member: member.name)


def _rank(member: Member) -> tuple[int, MemberState]:
    return member.incarnation, member.state
