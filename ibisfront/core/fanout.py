"""Asking every service of a snapshot and putting one answer together."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.core.coverage import Coverage, MissingReason, MissingService
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.planner import pin_snapshot
from ibisfront.core.query import Answer, SubRequest, SubRequestError

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisfront.core.catalogue import Catalogue
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.link import BackendLink
    from ibisfront.core.query import CallerRequest, SubReply
    from ibisfront.core.service import BackendServer
    from ibisfront.core.snapshot import Snapshot
    from ibisfront.core.table import Purpose

__all__ = ["Fanout"]


class _SearchReply(msgspec.Struct):
    """The body of a backend server's reply to a search."""

    snapshot: str
    rows: list[msgspec.Raw]


class _Scored(msgspec.Struct):
    """The part of a row that orders it."""

    score: float = 0.0


class Fanout:
    """Runs searches over the services of a snapshot.

    Parameters
    ----------
    catalogue : Catalogue
        The table, services and indexes in force.
    clock : Clock
        The tier's clock.
    counters : Counters
        Where sub-requests and missing services are counted.
    zone : str
        This instance's availability zone; its backend servers go first.
    link_to : callable
        Returns the link to a backend server.
    """

    __slots__ = ("_catalogue", "_clock", "_counters", "_ids", "_link_to", "_zone")

    def __init__(
        self,
        *,
        catalogue: Catalogue,
        clock: Clock,
        counters: Counters,
        zone: str,
        link_to: Callable[[BackendServer], BackendLink],
    ) -> None:
        self._catalogue = catalogue
        self._clock = clock
        self._counters = counters
        self._zone = zone
        self._link_to = link_to
        self._ids = itertools.count(1)

    async def search(self, request: CallerRequest, purpose: Purpose) -> Answer:
        """Return one whole answer from one snapshot.

        Raises
        ------
        IbisfrontError
            If no snapshot is known or no service answered.
        """
        snapshot = pin_snapshot(self._catalogue, purpose)
        replies: dict[str, _SearchReply] = {}
        missing: list[MissingService] = []

        async def ask(service: str) -> None:
            try:
                replies[service] = await self._ask(request, snapshot, service)
            except SubRequestError as error:
                missing.append(MissingService(service, error.reason))

        async with trio.open_nursery() as nursery:
            for service in snapshot.services:
                nursery.start_soon(ask, service)
        if not replies:
            raise IbisfrontError(
                ErrorKind.NO_COVERAGE,
                f"none of {len(snapshot.services)} services answered",
            )
        coverage = Coverage(len(replies), len(snapshot.services), tuple(missing))
        rows = [row for reply in replies.values() for row in reply.rows]
        return Answer(request.request_id, snapshot.name, coverage, _best_first(rows))

    def choose_server(self, service: str) -> BackendServer:
        """Return the backend server that the next sub-request goes to.

        Raises
        ------
        SubRequestError
            ``no_server`` if the service has none that is live.
        """
        known = self._catalogue.service(service)
        servers = [] if known is None else known.backend_servers
        live = [server for server in servers if server.state == "live"]
        if not live:
            raise SubRequestError(MissingReason.NO_SERVER, not_run=True)
        return min(live, key=self._load)

    async def _ask(
        self, request: CallerRequest, snapshot: Snapshot, service: str
    ) -> _SearchReply:
        sub_request = SubRequest(
            sub_request_id=f"{request.request_id}.{next(self._ids)}",
            service=service,
            body_json=request.body_json,
            deadline_at_ms=request.deadline_at_ms,
            snapshot=snapshot.name,
        )
        link = self._link_to(self.choose_server(service))
        remaining_ms = request.deadline_at_ms - self._clock.now_ms()
        with self._clock.timeout_ms(remaining_ms):
            reply = await link.call("search", sub_request)
            return _checked(reply, snapshot)
        raise SubRequestError(MissingReason.TIMED_OUT, not_run=False)

    def _load(self, server: BackendServer) -> tuple[int, bool]:
        return self._link_to(server).in_flight, server.zone != self._zone


def _checked(reply: SubReply, snapshot: Snapshot) -> _SearchReply:
    try:
        decoded = msgspec.json.decode(reply.body_json, type=_SearchReply)
    except msgspec.MsgspecError as error:
        raise SubRequestError(MissingReason.WRONG_REPLY, not_run=False) from error
    if decoded.snapshot != snapshot.name:
        raise SubRequestError(MissingReason.SNAPSHOT_GONE, not_run=False)
    return decoded


def _best_first(rows: list[msgspec.Raw]) -> tuple[msgspec.Raw, ...]:
    def score(row: msgspec.Raw) -> float:
        return -msgspec.json.decode(row, type=_Scored).score

    return tuple(sorted(rows, key=score))
