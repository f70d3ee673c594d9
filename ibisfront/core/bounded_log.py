"""A non-blocking log handler with a rate limit for each level."""

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
"""Log lines per second of a process, by level. Separate limits keep ordinary lines
from displacing warnings, which report failures."""

_BURST_S = 4.0
"""Burst size, in seconds of the rate, for the many lines of a start or change."""

_MAX_QUEUED_LINES = 2_000
"""Maximum number of queued lines."""

_MAX_QUEUED_BYTES = 1_000_000
"""Maximum size of all queued lines: one may hold several values of a caller, each as
long as the head of its request."""

_FLUSH_INTERVAL_MS = 250.0
"""Interval between writes; one wake-up writes many lines."""

_WRITE_CHUNK_BYTES = 65_536
"""Approximate size of one write: the capacity of a pipe."""


class _TokenBucket:
    """Rate limit of the lines of one level."""

    __slots__ = ("_per_s", "_refilled_at_ms", "_tokens")

    def __init__(self, per_s: float, now_ms: float) -> None:
        self._per_s = per_s
        self._tokens = per_s * _BURST_S
        self._refilled_at_ms = now_ms

    def try_take(self, now_ms: float) -> bool:
        """Take a token for one line; return False if none is left."""
        elapsed_s = (now_ms - self._refilled_at_ms) / 1000.0
        self._refilled_at_ms = now_ms
        capacity = self._per_s * _BURST_S
        self._tokens = min(capacity, self._tokens + elapsed_s * self._per_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class BoundedLogHandler(logging.Handler):
    """Queues lines in memory and writes them when the output accepts them.

    A blocking write to an output that nobody reads would stall the whole
    process in the middle of a request. Lines are queued up to a bound instead;
    lines that exceed the queue or the rate limit of their level are counted as
    dropped, and the next accepted line reports the counts.

    Parameters
    ----------
    descriptor : int
        File descriptor of the output; it is set to non-blocking mode.
    instance : str
        Name of the instance, included in each line.
    clock : Clock
        Clock of the tier.
    """

    def __init__(self, descriptor: int, *, instance: str, clock: Clock) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._lines: deque[bytes] = deque()
        self._queued_bytes = 0
        self._dropped: Counter[str] = Counter()
        self._unwritten = b""
        self._buckets: dict[int, _TokenBucket] = {}
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
        if not self._is_allowed(record) or self._is_full:
            self._dropped[record.levelname.lower()] += 1
            return
        if self._dropped:
            record.dropped = dict(self._dropped)
            self._dropped.clear()
        try:
            line = self.format(record)
        except (TypeError, ValueError) as error:
            line = f'{{"level": "ERROR", "message": "instance: bad record: {error!r}"}}'
        encoded = line.encode() + b"\n"
        self._lines.append(encoded)
        self._queued_bytes += len(encoded)

    def flush(self) -> None:
        """Write as much as the output accepts now; keep the rest."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._next_chunk()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The output is closed, and there is nowhere else to report it.
                self._unwritten = b""
                self._lines.clear()
                self._queued_bytes = 0
                return
            self._unwritten = self._unwritten[written:]

    async def run(self) -> None:
        """Write queued lines periodically until cancelled."""
        while True:
            await self._clock.sleep_ms(_FLUSH_INTERVAL_MS)
            self.flush()

    @property
    def _is_full(self) -> bool:
        return (
            len(self._lines) >= _MAX_QUEUED_LINES
            or self._queued_bytes >= _MAX_QUEUED_BYTES
        )

    def _is_allowed(self, record: logging.LogRecord) -> bool:
        now_ms = self._now_ms()
        bucket = self._buckets.get(record.levelno)
        if bucket is None:
            per_s = LINES_PER_S.get(record.levelno, LINES_PER_S[logging.ERROR])
            bucket = self._buckets[record.levelno] = _TokenBucket(per_s, now_ms)
        return bucket.try_take(now_ms)

    def _now_ms(self) -> float:
        try:
            return self._clock.now_ms()
        except RuntimeError:
            # No clock is available before trio starts and after it ends; the few
            # lines logged then are accepted.
            return 0.0

    def _next_chunk(self) -> bytes:
        lines: list[bytes] = []
        size = 0
        while self._lines and size < _WRITE_CHUNK_BYTES:
            lines.append(self._lines.popleft())
            size += len(lines[-1])
        self._queued_bytes -= size
        return b"".join(lines)
