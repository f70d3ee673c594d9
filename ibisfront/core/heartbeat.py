"""Heartbeats on every stream to a neighbour."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.core.peers import PeerMessage
from ibisfront.core.types import Version

if TYPE_CHECKING:
    from random import Random

    from ibisfront.core.clock import Clock
    from ibisfront.core.members import Member, Members
    from ibisfront.core.membership import Membership
    from ibisfront.core.peers import Peers
    from ibisfront.core.spread import ObjectSpread

__all__ = ["HEARTBEAT_MS", "Heartbeat", "Heartbeats"]

HEARTBEAT_MS = 500.0
"""How often a heartbeat goes out on each stream."""

_JITTER = 0.1


class Heartbeat(PeerMessage, frozen=True, tag="heartbeat"):
    """A sign of life, with what tells whether news was missed.

    Attributes
    ----------
    newest : int
        The newest version of any object that the sender holds.
    digest : int
        The digest of the sender's view of the members.
    """

    newest: Version
    digest: int


class Heartbeats:
    """Sends heartbeats, and hands what they carry to the parts.

    Parameters
    ----------
    members : Members
        The view whose digest is sent.
    membership : Membership
        Told who was heard.
    spread : ObjectSpread
        Told which versions there are.
    peers : Peers
        The other instances.
    clock : Clock
        The tier's clock.
    random : random.Random
        Spreads the heartbeats of the instances over time.
    """

    __slots__ = ("_clock", "_members", "_membership", "_peers", "_random", "_spread")

    def __init__(
        self,
        *,
        members: Members,
        membership: Membership,
        spread: ObjectSpread,
        peers: Peers,
        clock: Clock,
        random: Random,
    ) -> None:
        self._members = members
        self._membership = membership
        self._spread = spread
        self._peers = peers
        self._clock = clock
        self._random = random
        peers.handle(Heartbeat, self._heard)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self._peers.send_neighbours(self.current())
            jitter = self._random.uniform(1 - _JITTER, 1 + _JITTER)
            await self._clock.sleep_ms(HEARTBEAT_MS * jitter)

    def greeted(self, member: Member) -> None:
        """Welcome the member at the other end of a new stream."""
        self._membership.greeted(member)
        self._peers.send(member.name, self.current())

    def current(self) -> Heartbeat:
        """Return the heartbeat of this moment."""
        return Heartbeat(self._spread.store.newest, self._members.digest)

    def _heard(self, sender: str, message: Heartbeat) -> None:
        self._membership.heard(sender, message.digest)
        self._spread.heard_newest(sender, message.newest)
