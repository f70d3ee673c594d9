"""What part of a search was answered."""

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
    """One service that did not answer, and why."""

    service: str
    reason: MissingReason


class Coverage(msgspec.Struct, frozen=True):
    """How many of the pinned snapshot's services answered.

    Attributes
    ----------
    answered : int
        Services whose rows are in the answer.
    total : int
        Services of the pinned partition map.
    missing : tuple of MissingService
        The others, each with its reason.
    """

    answered: int
    total: int
    missing: tuple[MissingService, ...] = ()

    @property
    def was_shed(self) -> bool:
        """Whether an overloaded backend server refused a part."""
        return any(item.reason is MissingReason.SHED for item in self.missing)
