"""Heartbeats on the streams to neighbours."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.core.peers import PeerMessage
from ibisfront.core.types import Version

if TYPE_CHECKING:
    from random import Random

    from ibisfront.core.clock import Clock
    from ibisfront.core.dissemination import ObjectDissemination
    from ibisfront.core.members import Member, Members
    from ibisfront.core.membership import Membership
    from ibisfront.core.peers import Peers

__all__ = ["HEARTBEAT_MS", "Heartbeat", "Heartbeats"]

HEARTBEAT_MS = 500.0
"""Interval between heartbeats on each stream."""

_JITTER = 0.1


class Heartbeat(PeerMessage, frozen=True, tag="heartbeat"):
    """Liveness signal, with the data to detect missed updates.

    Attributes
    ----------
    newest : int
        The newest object version that the sender holds.
    digest : int
        The digest of the sender's view of the members.
    """

    newest: Version
    digest: int


class Heartbeats:
    """Sends heartbeats and dispatches the content of received ones.

    Parameters
    ----------
    members : Members
        The view whose digest is sent.
    membership : Membership
        Notified of received heartbeats.
    dissemination : ObjectDissemination
        Notified of the versions that peers hold.
    peers : Peers
        Messages to other instances.
    clock : Clock
        The tier's clock.
    random : random.Random
        Jitters the heartbeat interval.
    """

    __slots__ = (
        "_clock",
        "_dissemination",
        "_members",
        "_membership",
        "_peers",
        "_random",
    )

    def __init__(
        self,
        *,
        members: Members,
        membership: Membership,
        dissemination: ObjectDissemination,
        peers: Peers,
        clock: Clock,
        random: Random,
    ) -> None:
        self._members = members
        self._membership = membership
        self._dissemination = dissemination
        self._peers = peers
        self._clock = clock
        self._random = random
        peers.handle(Heartbeat, self._received)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self._peers.send_neighbours(self.current())
            jitter = self._random.uniform(1 - _JITTER, 1 + _JITTER)
            await self._clock.sleep_ms(HEARTBEAT_MS * jitter)

    def handshake_completed(self, member: Member) -> None:
        """Process the handshake of a new stream and send the first heartbeat."""
        self._membership.handshake_completed(member)
        self._peers.send(member.name, self.current())

    def current(self) -> Heartbeat:
        """Return a heartbeat with the current state."""
        return Heartbeat(self._dissemination.store.newest, self._members.digest)

    def _received(self, sender: str, message: Heartbeat) -> None:
        self._membership.heartbeat_received(sender, message.digest)
        self._dissemination.request_newer(sender, message.newest)
