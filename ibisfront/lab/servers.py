"""Simulated backend servers: slots, a queue, random service times, pauses, faults."""

from __future__ import annotations

import math
import zlib
from collections import deque
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

import msgspec

from ibisfront.gateway.load.server_load import ServerLoad
from ibisfront.gateway.messages import BackendReply

if TYPE_CHECKING:
    import numpy as np

    from ibisfront.gateway.servers.server_entry import ServerEntry
    from ibisfront.lab.pattern import Pattern, QueryKind
    from ibisfront.lab.scheduler import EventScheduler

__all__ = ["Job", "SimulatedServer"]

_REPLY_BODY = b"0123456789abcdef"
_OK = 200
_NOISE_STEPS = 10_000
_UNAVAILABLE = 503


class Job(msgspec.Struct, eq=False):
    """A request at a server.

    Attributes
    ----------
    query_index : int
        Index of its query in the pattern's queries.
    deadline_at_ms : float
        Time at which its sender stops waiting.
    on_reply : callable
        Receives the reply; not called after the job is cancelled.
    is_cancelled : bool
        Whether its connection was closed.
    """

    query_index: int
    deadline_at_ms: float
    on_reply: Callable[[BackendReply], None]
    is_cancelled: bool = False


class SimulatedServer:
    """Simulated backend server.

    Parameters
    ----------
    entry : ServerEntry
        Registry entry of the server.
    pattern : Pattern
        Defines slots, queue, pauses and noise.
    random : numpy.random.Generator
        Draws service times.
    speed : float
        Its speed relative to the median.
    scheduler : EventScheduler
        Schedules completions.

    Attributes
    ----------
    slowdown : float
        Factor of the service time due to the active faults; 1 for none.
    is_silent, is_down : bool
        Whether it sends no replies, and whether it refuses connections.
    connections : set of callable
        Callbacks that close its connections from the server side.
    received_requests, shed : int
        Number of requests received, and of those rejected.
    """

    __slots__ = (
        "_noise_seed",
        "_pattern",
        "_pause_offset_ms",
        "_queries",
        "_queue",
        "_random",
        "_running",
        "_scheduler",
        "_signature",
        "_speed",
        "connections",
        "entry",
        "is_down",
        "is_silent",
        "received_requests",
        "shed",
        "slowdown",
    )

    def __init__(
        self,
        entry: ServerEntry,
        pattern: Pattern,
        *,
        random: np.random.Generator,
        scheduler: EventScheduler,
        speed: float = 1.0,
    ) -> None:
        self._speed = speed
        self.entry = entry
        self._pattern = pattern
        self._queries: Sequence[QueryKind] = pattern.queries
        self._random = random
        self._scheduler = scheduler
        self._pause_offset_ms = float(random.uniform(0, pattern.pause_every_s)) * 1000.0
        self._noise_seed = int(random.integers(2**31))
        self._running: set[Job] = set()
        self._queue: deque[Job] = deque()
        self._signature = entry.server_id.encode()
        self.slowdown = 1.0
        self.is_silent = False
        self.is_down = False
        self.connections: set[Callable[[], None]] = set()
        self.received_requests = 0
        self.shed = 0

    def receive(self, job: Job, now_ms: float) -> None:
        """Run, queue or reject a request."""
        if job.is_cancelled:
            return
        self.received_requests += 1
        if self.is_silent:
            return
        if len(self._running) < self._pattern.slots:
            self._start(job, now_ms)
        elif len(self._queue) < self._pattern.queue:
            self._queue.append(job)
        else:
            self._reject(job)

    def cancel(self, job: Job, now_ms: float) -> None:
        """Cancel a request whose connection was closed."""
        job.is_cancelled = True
        if job in self._running:
            self._running.remove(job)
            self._start_next(now_ms)
        elif job in self._queue:
            self._queue.remove(job)

    def crash(self) -> None:
        """Lose all pending requests, close connections and refuse new ones."""
        self.is_down = True
        self._running.clear()
        self._queue.clear()
        for close in list(self.connections):
            close()

    def _reject(self, job: Job) -> None:
        self.shed += 1
        job.on_reply(BackendReply(_UNAVAILABLE, [], b"", not_run=True))

    def _start(self, job: Job, now_ms: float) -> None:
        self._running.add(job)
        work_ms = self._work_ms(self._queries[job.query_index]) * self._noise(now_ms)
        end_ms = self._end_ms(now_ms, work_ms)
        self._scheduler.call_at(end_ms, lambda: self._complete(job, end_ms))

    def _complete(self, job: Job, now_ms: float) -> None:
        if job not in self._running:
            return
        self._running.remove(job)
        if not self.is_silent:
            reply = BackendReply(_OK, [], _REPLY_BODY, signature=self._signature)
            if self._pattern.tells_load:
                reply.load = self._load(now_ms)
            job.on_reply(reply)
        self._start_next(now_ms)

    def _load(self, now_ms: float) -> ServerLoad:
        """Return the load that its replies report."""
        running, waiting = len(self._running), len(self._queue)
        factor = self._noise(now_ms)
        return ServerLoad(running, waiting, self._pattern.slots, factor)

    def _noise(self, now_ms: float) -> float:
        """Return the current slowdown by other processes on its machine."""
        pattern = self._pattern
        if not pattern.noise_share:
            return 1.0
        interval = int(now_ms / pattern.noise_every_ms)
        name = f"{self.entry.server_id} {self._noise_seed} {interval}"
        draw = zlib.crc32(name.encode()) % _NOISE_STEPS
        is_disturbed = draw < pattern.noise_share * _NOISE_STEPS
        return pattern.noise_factor if is_disturbed else 1.0

    def _start_next(self, now_ms: float) -> None:
        while self._queue and len(self._running) < self._pattern.slots:
            job = self._queue.popleft()
            if now_ms < job.deadline_at_ms:
                self._start(job, now_ms)
            else:
                self._reject(job)

    def _work_ms(self, query_kind: QueryKind) -> float:
        work_ms = query_kind.work_ms * float(
            self._random.lognormal(0.0, query_kind.spread)
        )
        if self._random.random() < query_kind.tail:
            work_ms *= query_kind.tail_factor
        return work_ms * self.slowdown / self._speed

    def _end_ms(self, start_ms: float, work_ms: float) -> float:
        """Return the completion time of work that starts now, including pauses."""
        pause_ms = self._pattern.pause_ms
        if not pause_ms:
            return start_ms + work_ms
        period_ms = self._pattern.pause_every_s * 1000.0
        at_ms, remaining_ms = start_ms, work_ms
        while True:
            phase_ms = math.fmod(at_ms + self._pause_offset_ms, period_ms)
            if phase_ms < pause_ms:
                at_ms += pause_ms - phase_ms
                phase_ms = pause_ms
            if remaining_ms <= period_ms - phase_ms:
                return at_ms + remaining_ms
            remaining_ms -= period_ms - phase_ms
            at_ms += period_ms - phase_ms
