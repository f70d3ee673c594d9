"""The era of the store's content, which changes when it comes back from a copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.state.store import StoreError, StoreErrorKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisfront.gateway.messages import Header

__all__ = ["WatchedEra", "stated_era"]

_LOG = part_logger(LogPart.PLATFORM)


def stated_era(headers: Iterable[Header], era_header: bytes) -> int | None:
    """Return the era that an answer's headers state; None if they state none.

    Parameters
    ----------
    headers : iterable of Header
        The headers.
    era_header : bytes
        Name of the header that states it, in lower case.
    """
    for name, value in headers:
        if name.lower() == era_header:
            if value.isdigit():
                return int(value)
            _LOG.warning("The store's era is no number: %.40r.", value)
    return None


class WatchedEra:
    """The era of the objects that one watch has listed.

    When the store comes back from an older copy, what was acknowledged in between is
    lost and its revisions are given out again. A watch would go on from a revision that
    now stands for another change; an answer that was under way is outdated.
    """

    __slots__ = ("_listed", "_newest")

    def __init__(self) -> None:
        self._listed: int | None = None
        self._newest: int | None = None

    def start_listing(self) -> None:
        """Accept the newest era, as all objects are listed anew."""
        self._listed = None

    def record_listed(self) -> None:
        """Record that the objects were listed in the newest era."""
        self._listed = self._newest

    def check(self, era: int | None, name: str) -> None:
        """Check the era of an answer.

        Parameters
        ----------
        era : int or None
            The era that the answer states; None if the store states none.
        name : str
            Name of what was read, for the error.

        Raises
        ------
        StoreError
            ``era_changed`` if it is not the era that is watched, or older than one
            seen before.
        """
        if era is None:
            return
        expected = self._newest if self._listed is None else self._listed
        self._newest = era if self._newest is None else max(era, self._newest)
        if expected is not None and era != expected:
            self._listed = None
            detail = f"{name}: era {era} after {expected}"
            raise StoreError(StoreErrorKind.ERA_CHANGED, detail)
