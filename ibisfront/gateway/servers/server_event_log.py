"""Log lines that each cover many backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.core.logs import LogPart, part_logger

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock

__all__ = ["ServerEventLog"]

_LOG = part_logger(LogPart.BACKEND)

_MAX_NAMED_SERVERS = 12
"""Servers named in one line: the number that a release replaces in a zone at a time."""


class ServerEventLog:
    """Batches events of servers, and logs one line for each kind of event.

    Hundreds of servers start, leave or fail together. One line for each would use up
    the log budget of every instance, and lines about requests would be dropped.

    Parameters
    ----------
    clock : Clock
        The clock.
    """

    __slots__ = ("_by_event", "_clock", "_first_ms")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_event: dict[tuple[str, bool], list[str]] = {}
        self._first_ms = 0.0

    def record(
        self, event: str, server_id: str, service: str, *, is_fault: bool = False
    ) -> None:
        """Record an event of a server; the next flush logs it."""
        if not self._by_event:
            self._first_ms = self._clock.now_ms()
        servers = self._by_event.setdefault((event, is_fault), [])
        servers.append(f"{server_id} of {service}")

    def flush(self) -> None:
        """Log the events recorded since the last flush."""
        if not self._by_event:
            return
        age_ms = round(self._clock.now_ms() - self._first_ms, 1)
        for (event, is_fault), servers in self._by_event.items():
            log = _LOG.warning if is_fault else _LOG.info
            names = ", ".join(servers[:_MAX_NAMED_SERVERS])
            left_out = len(servers) - _MAX_NAMED_SERVERS
            if left_out > 0:
                names += f" and {left_out} more"
            fields = {"servers": len(servers), "age_ms": age_ms}
            log("%s: %s.", event, names, extra=fields)
        self._by_event.clear()
