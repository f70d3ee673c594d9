"""The entry instance: wires together the components of one process."""

from __future__ import annotations

from contextlib import AsyncExitStack
from functools import partial
from random import Random
from typing import TYPE_CHECKING

import trio

from ibisfront.core.admission import Admission
from ibisfront.core.backend_pools import BackendPools
from ibisfront.core.catalogue import Catalogue
from ibisfront.core.counters import Counters
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.fanout import Fanout
from ibisfront.core.latencies import Latencies
from ibisfront.core.ledger import Ledger
from ibisfront.core.members import Member, Members
from ibisfront.core.objects import ObjectStore
from ibisfront.core.perform_sender import PerformSender
from ibisfront.core.quarantine import Quarantine
from ibisfront.core.share_messages import ShareTimes
from ibisfront.core.shares import Shares
from ibisfront.core.status import (
    InstanceStatus,
    StatusReply,
    StatusRequest,
    collect_status,
)
from ibisfront.core.stopping import Stopping
from ibisfront.shared_state import SharedState

if TYPE_CHECKING:
    from ibisfront.adapters.factory import AdapterFactory
    from ibisfront.core.clock import Clock
    from ibisfront.core.query import Answer, CallerRequest, PerformAnswer
    from ibisfront.core.settings import Settings
    from ibisfront.core.status import TierStatus
    from ibisfront.core.table import Purpose, Row

__all__ = ["EntryInstance"]

_PERFORM_CONNECTIONS = 4


class EntryInstance:
    """One entry instance; all instances have the same role.

    Parameters
    ----------
    settings : Settings
        The validated settings.
    adapters : AdapterFactory
        Creates the connections to backend servers, platform and peers.
    clock : Clock
        The tier's clock.
    """

    def __init__(
        self, settings: Settings, *, adapters: AdapterFactory, clock: Clock
    ) -> None:
        self.settings = settings
        self.counters = Counters()
        self.latencies = Latencies()
        self.stopping = Stopping(clock=clock)
        self.members = Members(_own_member(settings, clock))
        self.store = ObjectStore()
        self.catalogue = Catalogue(self.store, self.counters)
        self._random = Random(f"{settings.instance.name} {clock.wall_ms()}")
        self.peers = adapters.open_peers(
            self.members, counters=self.counters, random=self._random
        )
        self.shared = SharedState(
            members=self.members,
            store=self.store,
            peers=self.peers,
            clock=clock,
            counters=self.counters,
            random=self._random,
        )
        self.shares = Shares(
            members=self.members,
            clock=clock,
            counters=self.counters,
            find_table=lambda: self.catalogue.table,
            times=ShareTimes(join_ms=settings.shares.join_ms),
        )
        self.admission = Admission(
            clock=clock, counters=self.counters, shares=self.shares
        )
        self.backend_pools = BackendPools(
            catalogue=self.catalogue,
            members=self.members,
            open_connection=adapters.connection_opener(),
            clock=clock,
            counters=self.counters,
            backend=settings.backend,
            query=settings.query,
            server_statuses=self.shared.server_statuses,
        )
        self.quarantine = Quarantine(
            clock=clock,
            counters=self.counters,
            settings=settings.query,
            peers=self.peers,
        )
        self.fanout = Fanout(
            catalogue=self.catalogue,
            pools=self.backend_pools,
            quarantine=self.quarantine,
            clock=clock,
            counters=self.counters,
            zone=settings.instance.zone,
            settings=settings.query,
        )
        self.stopping.on_leaving(self.shared.leave)
        self.peers.respond(
            StatusRequest, lambda requester, request: StatusReply(self.status())
        )
        self._adapters = adapters
        self._clock = clock
        sender = PerformSender(
            catalogue=self.catalogue,
            open_connection=adapters.connection_opener(),
            clock=clock,
            counters=self.counters,
            zone=settings.instance.zone,
            maximum_connections=_PERFORM_CONNECTIONS,
            server_statuses=self.shared.server_statuses,
            quarantine=self.quarantine,
        )
        self.ledger = Ledger(
            instance=settings.instance.name,
            send_once=sender.send,
            clock=clock,
            counters=self.counters,
        )
        self.ledger.use_peers(self.peers)
        self.stopping.on_leaving(self.ledger.flush)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the instance's background tasks until cancelled."""
        async with AsyncExitStack() as stack:
            platform = self._adapters.open_platform()
            stack.push_async_callback(platform.aclose)
            stack.push_async_callback(self.backend_pools.aclose)
            nursery = await stack.enter_async_context(trio.open_nursery())
            nursery.start_soon(self.shares.run, self.peers)
            nursery.start_soon(self.backend_pools.maintain)
            await nursery.start(self.ledger.run, platform)
            await nursery.start(
                partial(
                    self.shared.run,
                    platform,
                    seeds=self.settings.peers.seeds,
                    wait_ms=self.settings.platform.watch_wait_ms,
                )
            )
            task_status.started()
            await trio.sleep_forever()

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send callers' requests here."""
        return (
            self.catalogue.table is not None
            and self.shares.joined
            and not self.stopping.begun
        )

    def status(self) -> InstanceStatus:
        """Return this instance's own status."""
        return InstanceStatus(
            name=self.settings.instance.name,
            zone=self.settings.instance.zone,
            table_version=self.catalogue.table_version,
            revision=self.store.revision,
            members=len(self.members.live()),
            ready=self.ready,
        )

    async def status_of_all(self) -> TierStatus:
        """Request the status of every instance that has not left."""
        return await collect_status(
            members=self.members, peers=self.peers, own=self.status
        )

    async def search(self, request: CallerRequest) -> Answer:
        """Return the merged answer; see ``CallerService``."""
        row, purpose = self._row(request, "search")
        async with self.admission.admit(
            row, purpose, deadline_at_ms=request.deadline_at_ms
        ) as slot:
            answer = await self.fanout.search(request, purpose)
            slot.shed = answer.coverage.has_shed_part
            return answer

    async def perform(self, request: CallerRequest, key: str) -> PerformAnswer:
        """Run non-idempotent work at most once; see ``CallerService``."""
        row, purpose = self._row(request, "perform")
        async with self.admission.admit(
            row, purpose, deadline_at_ms=request.deadline_at_ms
        ):
            return await self.ledger.perform(request, purpose, key)

    async def outcome(self, key: str) -> PerformAnswer:
        """Return the outcome of an earlier ``perform``."""
        return await self.ledger.outcome(key)

    def _row(self, request: CallerRequest, kind: str) -> tuple[Row, Purpose]:
        table = self.catalogue.table
        if table is None:
            raise IbisfrontError(ErrorKind.NO_TABLE, "this instance has no table yet")
        purpose = table.purpose(request.purpose)
        if purpose is None:
            raise IbisfrontError(
                ErrorKind.UNKNOWN_PURPOSE,
                f"purpose {request.purpose!r} is not in the table",
            )
        row = table.row(request.branch, request.purpose)
        if row is None:
            raise IbisfrontError(
                ErrorKind.UNKNOWN_BRANCH,
                f"branch {request.branch!r} has no row for {request.purpose!r}",
            )
        if purpose.kind != kind:
            raise IbisfrontError(
                ErrorKind.WRONG_KIND_OF_PURPOSE,
                f"purpose {purpose.name!r} is for {purpose.kind}",
            )
        return row, purpose


def _own_member(settings: Settings, clock: Clock) -> Member:
    return Member(
        name=settings.instance.name,
        zone=settings.instance.zone,
        peer_address=settings.peers.effective_address,
        admin_address=settings.admin.address,
        incarnation=int(clock.wall_ms()),
    )
