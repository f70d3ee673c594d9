"""Coverage of a search: the services that answered and those missing."""

from __future__ import annotations

from enum import StrEnum

import msgspec

__all__ = ["Coverage", "MissingReason", "MissingService"]


class MissingReason(StrEnum):
    """Why a service is missing from an answer."""

    NO_SERVER = "no_server"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_LOST = "connection_lost"
    TIMED_OUT = "timed_out"
    SHED = "shed"
    DRAINING = "draining"
    COLD = "cold"
    SNAPSHOT_GONE = "snapshot_gone"
    WRONG_REPLY = "wrong_reply"
    SERVER_ERROR = "server_error"
    REFUSED = "refused"
    QUARANTINED = "quarantined"
    NO_BUDGET = "no_budget"


class MissingService(msgspec.Struct, frozen=True):
    """One service that did not answer, and the reason."""

    service: str
    reason: MissingReason


class Coverage(msgspec.Struct, frozen=True):
    """The number of services of the pinned snapshot that answered.

    Attributes
    ----------
    answered : int
        Services whose rows are in the answer.
    total : int
        Services in the pinned partition map.
    missing : tuple of MissingService
        The services that did not answer, with reasons.
    """

    answered: int
    total: int
    missing: tuple[MissingService, ...] = ()

    @property
    def has_shed_part(self) -> bool:
        """Whether an overloaded backend server rejected a part of the search."""
        return any(item.reason is MissingReason.SHED for item in self.missing)
