"""What the requests on one connection hold, as :class:`CallerMemory` counts it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import trio

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.gateway.state.configuration import CallerLimits
    from ibisfront.http1.caller_memory import CallerMemory

__all__ = ["HTTP_CONNECTION_BYTES", "METER_KEY", "MeteredBody", "MeteredHttpConnection"]

HTTP_CONNECTION_BYTES = 64 * 1024
"""Memory of a connection that ``hypercorn`` serves, with the head of a request."""

METER_KEY = "meter"
"""Key of the connection in the ``state`` of its ASGI scopes."""


class MeteredBody(Protocol):
    """The body of one request.

    Attributes
    ----------
    held_bytes : int
        Memory that it uses.
    is_complete : bool
        Whether it was read, so that the request may be in work.
    """

    @property
    def held_bytes(self) -> int:
        """Memory that it uses."""

    @property
    def is_complete(self) -> bool:
        """Whether it was read, so that the request may be in work."""

    def refuse(self) -> None:
        """Drop it; its request is refused."""


class MeteredHttpConnection:
    """One connection; see ``MeteredConnection``.

    Parameters
    ----------
    memory : CallerMemory
        The memory that it shares with other connections.
    limits : CallerLimits
        Limits of a single request.
    clock : Clock
        The clock.

    Attributes
    ----------
    scope : trio.CancelScope
        Closes the connection when it is cancelled.
    stalled_since_ms : float
        When it began to wait for its caller.
    drawn_bytes : int
        What it draws on the pool.
    """

    __slots__ = (
        "_bodies",
        "_clock",
        "_limits",
        "_memory",
        "drawn_bytes",
        "scope",
        "stalled_since_ms",
    )

    def __init__(
        self, memory: CallerMemory, limits: CallerLimits, clock: Clock
    ) -> None:
        self._bodies: set[MeteredBody] = set()
        self._clock = clock
        self._limits = limits
        self._memory = memory
        self.drawn_bytes = 0
        self.scope = trio.CancelScope()
        self.stalled_since_ms = clock.now_ms()

    @property
    def releasable_bytes(self) -> int:
        """Memory that :meth:`give_up` frees."""
        return sum(body.held_bytes for body in self._bodies if not body.is_complete)

    @property
    def is_in_work(self) -> bool:
        """Whether a request of it was read and is not answered."""
        return any(body.is_complete for body in self._bodies)

    def give_up(self) -> None:
        """Refuse the requests whose bodies are still read."""
        for body in list(self._bodies):
            if not body.is_complete:
                body.refuse()
        self.record()

    def close(self) -> None:
        """Close it at once."""
        self.scope.cancel()

    def add(self, body: MeteredBody) -> None:
        """Count a body that begins to arrive."""
        self._bodies.add(body)
        self.stalled_since_ms = self._clock.now_ms()

    def remove(self, body: MeteredBody) -> None:
        """Stop counting a body whose request has ended."""
        self._bodies.discard(body)
        self.stalled_since_ms = self._clock.now_ms()
        self.record()

    def record(self) -> None:
        """Record what all bodies use; some may be refused."""
        held_bytes = sum(body.held_bytes for body in self._bodies)
        self._memory.record(self, held_bytes, self._limits)
