"""Log lines about many backend servers at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.core.logs import LogPart, part_logger

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock

__all__ = ["ServerEventLog"]

_LOG = part_logger(LogPart.BACKEND)

_NAMED = 12
"""Servers that one line names: those of one zone's part of a release."""


class ServerEventLog:
    """Gathers what befalls servers, and logs it in a line for each kind.

    Hundreds of servers come, leave or fall silent together. A line for each spends
    the budget of lines of every instance, and those about requests are dropped.

    Parameters
    ----------
    clock : Clock
        The tier's clock.
    """

    __slots__ = ("_by_what", "_clock", "_first_ms")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_what: dict[tuple[str, bool], list[str]] = {}
        self._first_ms = 0.0

    def record(
        self, what: str, server_id: str, service: str, *, is_fault: bool = False
    ) -> None:
        """Note what has befallen a server, to be told with the next lines."""
        if not self._by_what:
            self._first_ms = self._clock.now_ms()
        servers = self._by_what.setdefault((what, is_fault), [])
        servers.append(f"{server_id} of {service}")

    def tell(self) -> None:
        """Log what was noted since the last time."""
        if not self._by_what:
            return
        age_ms = round(self._clock.now_ms() - self._first_ms, 1)
        for (what, is_fault), servers in self._by_what.items():
            log = _LOG.warning if is_fault else _LOG.info
            names = ", ".join(servers[:_NAMED])
            left_out = len(servers) - _NAMED
            if left_out > 0:
                names += f" and {left_out} more"
            fields = {"servers": len(servers), "age_ms": age_ms}
            log("%s: %s.", what, names, extra=fields)
        self._by_what.clear()
