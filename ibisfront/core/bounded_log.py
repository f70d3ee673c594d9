"""A log handler that never blocks and writes a bounded number of lines."""

from __future__ import annotations

import logging
import os
from collections import Counter, deque
from typing import TYPE_CHECKING

from pythonjsonlogger.json import JsonFormatter

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock

__all__ = ["LINES_PER_S", "BoundedLogHandler"]

LINES_PER_S: dict[int, float] = {
    logging.DEBUG: 0.0,
    logging.INFO: 15.0,
    logging.WARNING: 40.0,
    logging.ERROR: 40.0,
}
"""Lines a second that a process may write of each level. Warnings, which tell of
failures, keep their own share however many ordinary ones come."""

_BURST_S = 4.0
"""How many seconds' lines may come at once, at a start or a change."""

_QUEUED_LINES = 2_000
"""Lines that wait at the most: about a megabyte."""

_FLUSH_MS = 250.0
"""How often lines are written: one wake-up for many of them."""

_WRITE_BYTES = 65_536
"""Bytes written at once: what a pipe holds."""


class _Allowance:
    """Lines of one level that may be written, refilled over time."""

    __slots__ = ("_at_ms", "_per_s", "_tokens")

    def __init__(self, per_s: float, now_ms: float) -> None:
        self._per_s = per_s
        self._tokens = per_s * _BURST_S
        self._at_ms = now_ms

    def try_take(self, now_ms: float) -> bool:
        """Take one line; return False if none is left."""
        passed_s = (now_ms - self._at_ms) / 1000.0
        self._at_ms = now_ms
        most = self._per_s * _BURST_S
        self._tokens = min(most, self._tokens + passed_s * self._per_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class BoundedLogHandler(logging.Handler):
    """Queues lines in memory and writes them when the output takes them.

    Writing to an output that nobody reads would stop the whole process in the
    middle of a request. Lines wait in a queue of bounded length instead; what
    does not fit, or is beyond the budget of its level, is counted, and the
    next line that gets through says how many are missing.

    Parameters
    ----------
    descriptor : int
        Where to write; set to be non-blocking.
    instance : str
        Stands in each line.
    clock : Clock
        The tier's clock.
    """

    def __init__(self, descriptor: int, *, instance: str, clock: Clock) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._lines: deque[bytes] = deque()
        self._dropped: Counter[str] = Counter()
        self._rest = b""
        self._allowances: dict[int, _Allowance] = {}
        self.setFormatter(
            JsonFormatter(
                "%(levelname)s %(message)s",
                rename_fields={"levelname": "level"},
                static_fields={"instance": instance},
                timestamp=True,
            )
        )

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or count it as dropped."""
        if not self._is_allowed(record) or len(self._lines) >= _QUEUED_LINES:
            self._dropped[record.levelname.lower()] += 1
            return
        if self._dropped:
            record.dropped = dict(self._dropped)
            self._dropped.clear()
        try:
            line = self.format(record)
        except (TypeError, ValueError) as error:
            line = f'{{"level": "ERROR", "message": "instance: a line: {error!r}"}}'
        self._lines.append(line.encode() + b"\n")

    def flush(self) -> None:
        """Write what the output takes now; keep the rest."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._next_piece()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the output any more, and there is no other
                # place to say so.
                self._rest = b""
                self._lines.clear()
                return
            self._rest = self._rest[written:]

    async def run(self) -> None:
        """Write the queued lines from time to time, until cancelled."""
        while True:
            await self._clock.sleep_ms(_FLUSH_MS)
            self.flush()

    def _is_allowed(self, record: logging.LogRecord) -> bool:
        now_ms = self._now_ms()
        allowance = self._allowances.get(record.levelno)
        if allowance is None:
            per_s = LINES_PER_S.get(record.levelno, LINES_PER_S[logging.ERROR])
            allowance = self._allowances[record.levelno] = _Allowance(per_s, now_ms)
        return allowance.try_take(now_ms)

    def _now_ms(self) -> float:
        try:
            return self._clock.now_ms()
        except RuntimeError:
            # Before the start and after the end of the tasks there is no
            # clock; the few lines then pass.
            return 0.0

    def _next_piece(self) -> bytes:
        pieces: list[bytes] = []
        size = 0
        while self._lines and size < _WRITE_BYTES:
            pieces.append(self._lines.popleft())
            size += len(pieces[-1])
        return b"".join(pieces)
