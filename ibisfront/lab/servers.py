"""Modelled backend servers: slots, a queue, work that varies, pauses and faults."""

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
    from ibisfront.lab.agenda import Agenda
    from ibisfront.lab.pattern import Pattern, Queries

__all__ = ["Job", "ModelServer"]

_RECORD = b"0123456789abcdef"
_OK = 200
_NOISE_DRAWS = 10_000
_UNAVAILABLE = 503


class Job(msgspec.Struct, eq=False):
    """A request at a server.

    Attributes
    ----------
    kind : int
        Which of the pattern's queries it is of.
    until_ms : float
        When its sender stops waiting.
    on_reply : callable
        Takes the reply, which is not called once the job was dropped.
    is_dropped : bool
        Whether its connection was closed.
    """

    kind: int
    until_ms: float
    on_reply: Callable[[BackendReply], None]
    is_dropped: bool = False


class ModelServer:
    """One server.

    Parameters
    ----------
    entry : ServerEntry
        What the tier knows of it.
    pattern : Pattern
        How it is built.
    random : numpy.random.Generator
        Draws its work.
    agenda : Agenda
        Plans the ends of its work.

    Attributes
    ----------
    factor : float
        How much slower than usual it works.
    is_silent, is_down : bool
        Whether it replies nothing, or refuses connections.
    connections : set of callable
        Ends each of its connections from its side.
    arrivals, shed : int
        How many requests came, and how many were turned away.
    """

    __slots__ = (
        "_agenda",
        "_noise_seed",
        "_pattern",
        "_pause_offset_ms",
        "_queries",
        "_random",
        "_reply",
        "_running",
        "_waiting",
        "arrivals",
        "connections",
        "entry",
        "factor",
        "is_down",
        "is_silent",
        "shed",
    )

    def __init__(
        self,
        entry: ServerEntry,
        pattern: Pattern,
        *,
        random: np.random.Generator,
        agenda: Agenda,
    ) -> None:
        self.entry = entry
        self._pattern = pattern
        self._queries: Sequence[Queries] = pattern.queries
        self._random = random
        self._agenda = agenda
        self._pause_offset_ms = float(random.uniform(0, pattern.pause_every_s)) * 1000.0
        self._noise_seed = int(random.integers(2**31))
        self._running: set[Job] = set()
        self._waiting: deque[Job] = deque()
        self._reply = entry.server_id.encode()
        self.factor = 1.0
        self.is_silent = False
        self.is_down = False
        self.connections: set[Callable[[], None]] = set()
        self.arrivals = 0
        self.shed = 0

    def take(self, job: Job, now_ms: float) -> None:
        """Take a request: run it, keep it waiting, or turn it away."""
        if job.is_dropped:
            return
        self.arrivals += 1
        if self.is_silent:
            return
        if len(self._running) < self._pattern.slots:
            self._start(job, now_ms)
        elif len(self._waiting) < self._pattern.queue:
            self._waiting.append(job)
        else:
            self._turn_away(job)

    def drop(self, job: Job, now_ms: float) -> None:
        """Drop a request whose connection was closed."""
        job.is_dropped = True
        if job in self._running:
            self._running.remove(job)
            self._start_next(now_ms)
        elif job in self._waiting:
            self._waiting.remove(job)

    def go_down(self) -> None:
        """Lose all that is there, and refuse connections."""
        self.is_down = True
        self._running.clear()
        self._waiting.clear()
        for end in list(self.connections):
            end()

    def _turn_away(self, job: Job) -> None:
        self.shed += 1
        job.on_reply(BackendReply(_UNAVAILABLE, [], b"", not_run=True))

    def _start(self, job: Job, now_ms: float) -> None:
        self._running.add(job)
        work_ms = self._work_ms(self._queries[job.kind]) * self._noise(now_ms)
        end_ms = self._end_ms(now_ms, work_ms)
        self._agenda.at(end_ms, lambda: self._end(job, end_ms))

    def _end(self, job: Job, now_ms: float) -> None:
        if job not in self._running:
            return
        self._running.remove(job)
        if not self.is_silent:
            reply = BackendReply(_OK, [], _RECORD, signature=self._reply)
            if self._pattern.tells_load:
                reply.load = self._load(now_ms)
            job.on_reply(reply)
        self._start_next(now_ms)

    def _load(self, now_ms: float) -> ServerLoad:
        """Return what it says of its load."""
        running, waiting = len(self._running), len(self._waiting)
        factor = self._noise(now_ms)
        return ServerLoad(running, waiting, self._pattern.slots, factor)

    def _noise(self, now_ms: float) -> float:
        """Return how much longer others on its machine make its work now."""
        pattern = self._pattern
        if not pattern.noise_share:
            return 1.0
        spell = int(now_ms / pattern.noise_every_ms)
        name = f"{self.entry.server_id} {self._noise_seed} {spell}"
        draw = zlib.crc32(name.encode()) % _NOISE_DRAWS
        is_disturbed = draw < pattern.noise_share * _NOISE_DRAWS
        return pattern.noise_factor if is_disturbed else 1.0

    def _start_next(self, now_ms: float) -> None:
        while self._waiting and len(self._running) < self._pattern.slots:
            job = self._waiting.popleft()
            if now_ms < job.until_ms:
                self._start(job, now_ms)
            else:
                self._turn_away(job)

    def _work_ms(self, queries: Queries) -> float:
        work_ms = queries.work_ms * float(self._random.lognormal(0.0, queries.spread))
        if self._random.random() < queries.tail:
            work_ms *= queries.tail_factor
        return work_ms * self.factor

    def _end_ms(self, start_ms: float, work_ms: float) -> float:
        """Return when work ends that begins now, pauses included."""
        pause_ms = self._pattern.pause_ms
        if not pause_ms:
            return start_ms + work_ms
        every_ms = self._pattern.pause_every_s * 1000.0
        at_ms, left_ms = start_ms, work_ms
        while True:
            phase_ms = math.fmod(at_ms + self._pause_offset_ms, every_ms)
            if phase_ms < pause_ms:
                at_ms += pause_ms - phase_ms
                phase_ms = pause_ms
            if left_ms <= every_ms - phase_ms:
                return at_ms + left_ms
            left_ms -= every_ms - phase_ms
            at_ms += every_ms - phase_ms
