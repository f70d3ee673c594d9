"""Places of callers that were refused and told when to come back.

Load pattern: callers that are refused come back while others arrive. Without a place,
who is served is a matter of luck, and those who repeat at once win. A place is known
by what all attempts of a caller share: the request, its workspace and its deadline.
"""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ibisfront.gateway.load.applicant import Applicant
    from ibisfront.gateway.messages import InboundRequest

__all__ = ["KeptPlace", "KeptPlaces", "caller_identity"]

_DEADLINE_TOLERANCE_MS = 50.0
"""Difference of the deadlines of a caller's attempts, due to the network and to the
time until an attempt is read; other callers with the same request differ by more."""

_MAX_PLACES = 1_024
"""Bound on memory; a place lasts for one objective beyond its time."""


class KeptPlace(msgspec.Struct, frozen=True):
    """One caller's place.

    Attributes
    ----------
    rank : int
        The rank of the refused request.
    workspace : str
        Its workspace.
    deadline_at_ms : float
        The caller's deadline.
    due_at_ms : float
        When it was told to come back.
    expires_at_ms : float
        When the place is dropped.
    """

    rank: int
    workspace: str
    deadline_at_ms: float
    due_at_ms: float
    expires_at_ms: float


def caller_identity(request: InboundRequest) -> bytes:
    """Return what the attempts of one caller have in common."""
    digest = hashlib.blake2b(digest_size=16)
    host, workspace = request.host.encode(), request.workspace.encode()
    for field in (request.method, host, request.target, workspace, request.body):
        digest.update(b"%d:" % len(field))
        digest.update(field)
    return digest.digest()


class KeptPlaces:
    """The places that one group of services keeps for callers."""

    __slots__ = ("_by_identity", "_count", "_next_expiry_ms")

    def __init__(self) -> None:
        self._by_identity: dict[bytes, list[KeptPlace]] = {}
        self._count = 0
        self._next_expiry_ms = math.inf

    def has_any(self, now_ms: float) -> bool:
        """Return whether any place is kept."""
        self._drop_expired(now_ms)
        return bool(self._by_identity)

    def keep(self, applicant: Applicant, *, due_at_ms: float, now_ms: float) -> None:
        """Keep a place for a caller that is told to come back at a time."""
        self._drop_expired(now_ms)
        if self._count >= _MAX_PLACES:
            return
        place = KeptPlace(
            rank=applicant.rank,
            workspace=applicant.workspace,
            deadline_at_ms=applicant.deadline_at_ms,
            due_at_ms=due_at_ms,
            expires_at_ms=due_at_ms + applicant.objective_ms,
        )
        self._by_identity.setdefault(applicant.identity, []).append(place)
        self._count += 1
        self._next_expiry_ms = min(self._next_expiry_ms, place.expires_at_ms)

    def claim(
        self, applicant: Applicant, now_ms: float, *, slack_ms: float
    ) -> float | None:
        """Return the time until a caller's place is due; None if it has no place.

        A place that is due is used up: the result is then 0. One that is not due stays
        as it is, so that coming back early gains nothing.

        Parameters
        ----------
        applicant : Applicant
            The request.
        now_ms : float
            The time.
        slack_ms : float
            How much too early a caller may be.
        """
        self._drop_expired(now_ms)
        place = self._find(applicant)
        if place is None:
            return None
        if place.due_at_ms - slack_ms > now_ms:
            return place.due_at_ms - now_ms
        self._remove(applicant.identity, place)
        return 0.0

    def release(self, applicant: Applicant) -> None:
        """Drop the place of a caller that needs none any more."""
        place = self._find(applicant)
        if place is not None:
            self._remove(applicant.identity, place)

    def pending(self, now_ms: float) -> Iterator[KeptPlace]:
        """Yield the places whose callers are still to come back."""
        for places in self._by_identity.values():
            for place in places:
                if place.due_at_ms >= now_ms:
                    yield place

    def _find(self, applicant: Applicant) -> KeptPlace | None:
        for place in self._by_identity.get(applicant.identity, ()):
            difference_ms = abs(place.deadline_at_ms - applicant.deadline_at_ms)
            if difference_ms <= _DEADLINE_TOLERANCE_MS:
                return place
        return None

    def _remove(self, identity: bytes, place: KeptPlace) -> None:
        places = self._by_identity[identity]
        places.remove(place)
        self._count -= 1
        if not places:
            del self._by_identity[identity]

    def _drop_expired(self, now_ms: float) -> None:
        if now_ms < self._next_expiry_ms:
            return
        self._next_expiry_ms = math.inf
        for identity, places in list(self._by_identity.items()):
            for place in list(places):
                if place.expires_at_ms <= now_ms:
                    self._remove(identity, place)
                else:
                    self._next_expiry_ms = min(
                        self._next_expiry_ms, place.expires_at_ms
                    )
