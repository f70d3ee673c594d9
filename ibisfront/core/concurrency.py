"""How many requests may run at once, learned from latency and sheds."""

from __future__ import annotations

__all__ = ["ConcurrencyLimit"]

_FIRST_PLACES = 16
_SMOOTHING = 0.1


class ConcurrencyLimit:
    """The number of requests of one group that may run here at once.

    Parameters
    ----------
    places : int, optional
        The first limit.
    """

    __slots__ = ("_places", "duration_ms")

    def __init__(self, *, places: int = _FIRST_PLACES) -> None:
        self._places = float(places)
        self.duration_ms = 0.0
        """How long a request runs, smoothed; 0 while nothing is known."""

    @property
    def places(self) -> int:
        """How many requests may run now."""
        return int(self._places)

    @property
    def interval_ms(self) -> float:
        """The time from one end of a request to the next while all run."""
        return self.duration_ms / self.places

    def record(
        self, *, now_ms: float, duration_ms: float, running: int, shed: bool
    ) -> None:
        """Take in one request that has ended.

        Parameters
        ----------
        now_ms : float
            When it ended.
        duration_ms : float
            How long it ran.
        running : int
            How many ran beside it, itself included, when it started.
        shed : bool
            Whether a backend server refused part of its work.
        """
        del now_ms, running
        if shed:
            return
        if self.duration_ms == 0.0:
            self.duration_ms = duration_ms
        self.duration_ms += _SMOOTHING * (duration_ms - self.duration_ms)
