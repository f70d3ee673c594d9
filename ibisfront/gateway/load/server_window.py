"""How many requests this instance keeps in flight at one server.

Load pattern: part of a service's servers are down while the traffic peaks, and several
instances send to the one that is left. Its queue fills; what it rejects was sent for
nothing and is repeated from the retry budget. While the server keeps up the window is
open; once requests queue there, what is over the window waits at this instance, where
it has a rank, can be withdrawn, and costs the server nothing.
"""

from __future__ import annotations

import math

__all__ = ["ServerWindow"]

_DELAY_WEIGHT = 0.2
"""Weight of one reply in the smoothed delay: about five replies, so that one pause of
the server does not close the window."""

_MAX_DELAY_FACTOR = 4.0
"""Upper limit on the delay of one reply, in service times, for the same reason."""

_QUEUEING_FACTOR = 1.0
"""Smoothed delay, in service times, above which requests queue at the server: with two
slots, two requests ahead, which keep it busy between two sends."""

_DECREASE_FACTOR = 0.7
"""Factor on the window once requests queue at the server."""

_REJECTED_FACTOR = 0.5
"""Factor on the window once the server rejects a request."""

_INCREASE_PER_REPLY = 0.5
"""Growth of the window per reply without queueing while requests wait for it."""

_HALF_LIFE_MS = 400.0
"""Half-life of the smoothed delay without replies."""

_REOPEN_MS = 800.0
"""Time after which the window reopens if no request had to wait for it."""


class ServerWindow:
    """The window of one instance at one server.

    Parameters
    ----------
    slots : int
        How many requests the server runs concurrently.

    Attributes
    ----------
    senders : int
        The number of instances that send to the server.
    slots : int
        How many requests the server runs concurrently.
    reply_ms : float
        Smoothed latency of the server's replies; 0 until the first one.
    """

    __slots__ = (
        "_changed_at_ms",
        "_delay_at_ms",
        "_delay_ms",
        "_limit",
        "_pressed_at_ms",
        "_work_ms",
        "reply_ms",
        "senders",
        "slots",
    )

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.senders = 1
        self.reply_ms = 0.0
        self._work_ms = 0.0
        self._delay_ms = 0.0
        self._delay_at_ms = -math.inf
        self._limit = math.inf
        self._changed_at_ms = -math.inf
        self._pressed_at_ms = -math.inf

    @property
    def is_open(self) -> bool:
        """Whether it had no limit when it was last used."""
        return math.isinf(self._limit)

    @property
    def limit(self) -> float:
        """Maximum number of requests in flight; infinite while it is open."""
        return self._limit if self.is_open else float(int(self._limit))

    @property
    def share(self) -> float:
        """The instance's share of the server's slots, at least one."""
        return max(self.slots / max(self.senders, 1), 1.0)

    @property
    def interval_ms(self) -> float:
        """The mean time between two starts by this instance while it is full."""
        concurrency = self.share if self.is_open else self.limit
        return self.reply_ms / concurrency

    def delay_ms(self, now_ms: float) -> float:
        """Return how long requests sent now would wait at the server."""
        if not self._delay_ms:
            return 0.0
        age_ms = now_ms - self._delay_at_ms
        return self._delay_ms * math.exp2(-age_ms / _HALF_LIFE_MS)

    def has_room(self, now_ms: float, *, sent: int) -> bool:
        """Return whether one more request may be sent beside ``sent`` others."""
        return self.is_open_at(now_ms) or sent < self.limit

    def is_open_at(self, now_ms: float) -> bool:
        """Return whether it has no limit; open it if nothing waited for some time."""
        if not self.is_open and now_ms > self._pressed_at_ms + _REOPEN_MS:
            self._limit = math.inf
        return self.is_open

    def record_waiting(self, now_ms: float) -> None:
        """Record that a request waits for the window."""
        self._pressed_at_ms = now_ms

    def record_reply(
        self, now_ms: float, *, took_ms: float, unloaded_ms: float, sent: int
    ) -> None:
        """Record a reply.

        Parameters
        ----------
        now_ms : float
            The time.
        took_ms : float
            Its latency since it was sent.
        unloaded_ms : float
            The same without queueing; infinite if unknown.
        sent : int
            Requests in flight at the server just before it.
        """
        if math.isinf(unloaded_ms):
            return
        self._work_ms = _smoothed(self._work_ms, unloaded_ms)
        longest_ms = _MAX_DELAY_FACTOR * self._work_ms
        delay_ms = min(max(took_ms - unloaded_ms, 0.0), longest_ms)
        self._delay_ms = self.delay_ms(now_ms)
        self._delay_ms += _DELAY_WEIGHT * (delay_ms - self._delay_ms)
        self._delay_at_ms = now_ms
        self.reply_ms = _smoothed(self.reply_ms, unloaded_ms + delay_ms)
        if self._delay_ms > _QUEUEING_FACTOR * self._work_ms:
            self._pressed_at_ms = now_ms
            self._decrease(now_ms, took_ms, _DECREASE_FACTOR, sent, least=self.share)
        elif not self.is_open and sent >= self.limit:
            self._limit += _INCREASE_PER_REPLY

    def record_rejected(self, now_ms: float, *, took_ms: float, sent: int) -> None:
        """Record that the server rejected a request; see :meth:`record_reply`."""
        self._pressed_at_ms = now_ms
        self._decrease(now_ms, took_ms, _REJECTED_FACTOR, sent, least=1.0)

    def _decrease(
        self, now_ms: float, took_ms: float, factor: float, sent: int, *, least: float
    ) -> None:
        """Decrease the window, once for all requests that were sent under it."""
        if now_ms - took_ms < self._changed_at_ms:
            return
        limit = factor * min(self._limit, max(sent, 1))
        self._limit = min(self._limit, max(limit, least))
        self._changed_at_ms = now_ms


def _smoothed(mean: float, value: float) -> float:
    return mean + _DELAY_WEIGHT * (value - mean) if mean else value
