"""Limits of workspaces over all instances: takes, lends and returns tokens."""

from __future__ import annotations

import math
import secrets
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.core.counters import CounterKind
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.core.metrics_text import Gauge
from ibisfront.gateway.messages import CallerReply
from ibisfront.gateway.quotas.quota import QuotaRefusal
from ibisfront.gateway.quotas.quota_asking import QuotaAsking
from ibisfront.gateway.quotas.quota_borrower import QuotaBorrower
from ibisfront.gateway.quotas.quota_lender import QuotaLender
from ibisfront.gateway.quotas.quota_messages import (
    QUOTA_TARGET,
    QuotaAsk,
    QuotaGrant,
    decode_ask,
)
from ibisfront.gateway.quotas.quota_owners import QuotaOwners
from ibisfront.gateway.quotas.refusal_log import QuotaRefusalLog

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.gateway.instances.directory import InstanceEntry
    from ibisfront.gateway.messages import Header, InboundRequest
    from ibisfront.gateway.quotas.quota_borrower import BorrowedToken, WorkspaceLoans
    from ibisfront.gateway.quotas.quota_messages import QuotaMessages
    from ibisfront.gateway.quotas.quota_owners import OwnerPlan
    from ibisfront.gateway.settings import Bounds
    from ibisfront.gateway.state.configuration import Workspace

__all__ = ["Quotas"]

_LOG = part_logger(LogPart.LIMITS)

_OK = 200

_UNKNOWN_MS = 150.0
"""How long an instance that does not know a workspace is not asked again."""

_LIST_WAIT_SHARE = 0.25
"""Part of the time left that a request waits for the list of instances."""


class _Ticket:
    """One token in use for a request."""

    __slots__ = ("_is_returned", "_quotas", "_token", "_workspace")

    def __init__(
        self, quotas: Quotas, workspace: Workspace, token: BorrowedToken
    ) -> None:
        self._quotas = quotas
        self._workspace = workspace
        self._token = token
        self._is_returned = False

    def give_back(self) -> None:
        """Return it: the request has not reached any server and never will."""
        if not self._is_returned:
            self._is_returned = True
            self._quotas.give_back(self._workspace, self._token)


class Quotas:
    """Counts requests against the limits of workspaces, with the other instances.

    Parameters
    ----------
    own : InstanceEntry
        This instance.
    bounds : Bounds
        The deployment's bounds.
    messages : QuotaMessages
        Sends messages to the other instances.
    request_id_header : callable
        Returns the header with the id of the request that a reply answers.
    clock : Clock
        The clock.
    counters : Counters
        Counts requests, messages and refusals.
    is_first_start : bool
        Whether all instances start for the first time, so that no predecessor has
        granted anything.
    zones : int, optional
        Zones of the deployment.
    """

    __slots__ = (
        "_asking",
        "_borrower",
        "_bounds",
        "_clock",
        "_counters",
        "_lender",
        "_list_loaded",
        "_messages",
        "_own_name",
        "_owners",
        "_refusal_log",
        "_request_id_header",
        "_version",
        "_workspaces",
    )

    def __init__(
        self,
        *,
        own: InstanceEntry,
        bounds: Bounds,
        messages: QuotaMessages,
        request_id_header: Callable[[str], Header],
        clock: Clock,
        counters: Counters,
        is_first_start: bool,
        zones: int = 1,
    ) -> None:
        started_ms = -math.inf if is_first_start else clock.now_ms()
        self._own_name = own.name
        self._bounds = bounds
        self._messages = messages
        self._request_id_header = request_id_header
        self._clock = clock
        self._counters = counters
        self._owners = QuotaOwners(
            own, bounds=bounds, zones=zones, started_ms=started_ms
        )
        self._lender = QuotaLender(
            owners=self._owners, bounds=bounds, process=secrets.randbits(62)
        )
        self._borrower = QuotaBorrower()
        self._asking = QuotaAsking(
            own_name=own.name,
            bounds=bounds,
            lender=self._lender,
            messages=messages,
            clock=clock,
            counters=counters,
        )
        self._workspaces: dict[str, Workspace] = {}
        self._version = 0
        self._list_loaded = trio.Event()
        self._refusal_log = QuotaRefusalLog()

    def set_bounds(self, bounds: Bounds) -> None:
        """Replace the bounds."""
        self._bounds = bounds
        self._owners.set_bounds(bounds)
        self._lender.set_bounds(bounds)
        self._asking.set_bounds(bounds)
        self._lender.update(self._workspaces, self._clock.now_ms())

    def set_instances(self, entries: Sequence[InstanceEntry]) -> None:
        """Apply the list of instances that count."""
        now_ms = self._clock.now_ms()
        if not self._owners.set_instances(entries, now_ms):
            return
        owned = self._lender.workspace_count
        self._lender.update(self._workspaces, now_ms)
        self._borrower.unblock()
        fields = {
            "instances": len(entries),
            "owned": self._lender.workspace_count,
            "no_longer_owned": owned - self._lender.workspace_count,
        }
        _LOG.info("The owners of quotas are computed again.", extra=fields)
        if self._owners.is_loaded:
            self._list_loaded.set()

    def plan(self, workspace: Workspace) -> OwnerPlan:
        """Return the owners of a workspace."""
        return self._owners.plan(workspace)

    def hold_until(self, at_ms: float) -> None:
        """Lend nothing before a time: the others may not know of this instance."""
        self._lender.hold_until(at_ms)

    def retain(self, workspaces: Sequence[Workspace], version: int = 0) -> None:
        """Apply the workspaces of the configuration in force."""
        before = self._workspaces
        self._version = version
        self._workspaces = {item.name: item for item in workspaces if item.is_limited}
        changed = {
            name
            for name in before.keys() | self._workspaces.keys()
            if _limit(before.get(name)) != _limit(self._workspaces.get(name))
        }
        for name in changed:
            self._owners.forget(name)
        self._borrower.retain(frozenset(self._workspaces))
        self._borrower.unblock(changed)
        self._lender.update(self._workspaces, self._clock.now_ms())

    async def take(
        self, workspace: Workspace, deadline_at_ms: float
    ) -> _Ticket | QuotaRefusal:
        """Count one request; see ``TakeQuota``."""
        now_ms = self._clock.now_ms()
        loans = self._borrower.of(workspace)
        loans.record_request(now_ms)
        token = loans.use_token(now_ms)
        if token is not None:
            self._counters.add(CounterKind.QUOTAS, "held")
            return _Ticket(self, workspace, token)
        if now_ms < loans.blocked_until_ms:
            return self._refuse(workspace, loans, "over_quota")
        if not self._owners.is_loaded:
            wait_ms = (deadline_at_ms - now_ms) * _LIST_WAIT_SHARE
            with self._clock.timeout_ms(wait_ms):
                await self._list_loaded.wait()
            if not self._owners.is_loaded:
                return self._refuse(workspace, loans, "no_quota_owner")
        return await self._borrow(workspace, loans, deadline_at_ms)

    def give_back(self, workspace: Workspace, token: BorrowedToken) -> None:
        """Return a token that was not used."""
        now_ms = self._clock.now_ms()
        if now_ms >= token.expires_at_ms:
            self._counters.add(CounterKind.QUOTAS, "returned_late")
            return
        self._counters.add(CounterKind.QUOTAS, "returned")
        if token.owner == self._own_name:
            self._lender.give_back(workspace.name, token.returned, now_ms)
            return
        ask = QuotaAsk(workspace.name, 0, token.returned)
        self._messages.send(token.owner, ask, lambda _: None)

    def answer(self, request: InboundRequest) -> CallerReply | None:
        """Return the reply to another instance's message; None if it is none."""
        if request.target != QUOTA_TARGET:
            return None
        ask = decode_ask(request.body)
        grant = QuotaGrant(0, 0, 0, 0.0, is_owner=False)
        if ask is not None:
            grant = self.answer_ask(ask)
        headers = [self._request_id_header(request.request_id)]
        return CallerReply(_OK, headers, msgspec.msgpack.encode(grant), "quota")

    def answer_ask(self, ask: QuotaAsk) -> QuotaGrant:
        """Lend tokens to another instance, or take one back."""
        now_ms = self._clock.now_ms()
        if ask.returned is not None:
            self._lender.give_back(ask.workspace, ask.returned, now_ms)
        workspace = self._workspaces.get(ask.workspace)
        if workspace is None or ask.wanted < 1:
            # It has just started, or the configurations differ for a moment.
            return QuotaGrant(0, 0, 0, _UNKNOWN_MS, is_owner=False)
        grant = self._lender.grant(workspace, ask.wanted, now_ms)
        if grant.tokens:
            self._counters.add(CounterKind.QUOTAS, "lent", grant.tokens)
        return grant

    def gauges(self) -> list[Gauge]:
        """Return the gauges of shares held and lent."""
        now_ms = self._clock.now_ms()
        return [
            Gauge(
                "quota_tokens_held",
                "Requests of workspaces that may be sent without asking an owner.",
                self._borrower.held(now_ms),
            ),
            Gauge(
                "quota_tokens_lent",
                "Requests of workspaces lent by this instance.",
                self._lender.lent(now_ms),
            ),
            Gauge(
                "quota_workspaces_owned",
                "Active workspaces of which this instance owns a part of the limit.",
                self._lender.workspace_count,
            ),
        ]

    async def _borrow(
        self, workspace: Workspace, loans: WorkspaceLoans, deadline_at_ms: float
    ) -> _Ticket | QuotaRefusal:
        """Ask the owners for a token, and the reserve owners if some are silent."""
        plan = self._owners.plan(workspace)
        token = await self._asking.ask_in_turn(
            workspace, loans, plan.owners, deadline_at_ms
        )
        names = [name for group in plan.owners for name in group.names]
        is_any_silent = loans.is_any_silent(names)
        if token is None and is_any_silent and plan.reserves:
            reserves = plan.reserves
            token = await self._asking.ask_in_turn(
                workspace, loans, reserves, deadline_at_ms
            )
            names += [name for group in reserves for name in group.names]
        if token is not None:
            return _Ticket(self, workspace, token)
        loans.block(names, self._clock.now_ms())
        reason = "owner_silent" if is_any_silent else "over_quota"
        return self._refuse(workspace, loans, reason)

    def _refuse(
        self, workspace: Workspace, loans: WorkspaceLoans, reason: str
    ) -> QuotaRefusal:
        now_ms = self._clock.now_ms()
        self._counters.add(CounterKind.QUOTAS, reason)
        interval_ms = 1_000.0 / workspace.limit_per_s
        window_ms = self._bounds.quota_window_ms
        retry_after_ms = loans.retry_after_ms(interval_ms, window_ms, now_ms)
        self._log_refusal(workspace, loans, reason, retry_after_ms, now_ms)
        return QuotaRefusal(retry_after_ms, reason)

    def _log_refusal(
        self,
        workspace: Workspace,
        loans: WorkspaceLoans,
        reason: str,
        retry_after_ms: float,
        now_ms: float,
    ) -> None:
        if not self._refusal_log.record(workspace.name, now_ms):
            return
        plan = self._owners.plan(workspace) if self._owners.is_loaded else None
        fields = {
            "workspace": workspace.name,
            "reason": reason,
            "limit_per_s": workspace.limit_per_s,
            "limit_burst": workspace.limit_burst,
            "tokens_held": loans.count(now_ms),
            "last_grant_age_ms": loans.granted_age_ms(now_ms),
            "owners": None
            if plan is None
            else sum(len(group.names) for group in plan.owners),
            "retry_after_ms": round(retry_after_ms, 1),
            "version": self._version,
        }
        _LOG.info("A request of %s is over quota.", workspace.name, extra=fields)


def _limit(workspace: Workspace | None) -> tuple[float, float] | None:
    if workspace is None:
        return None
    return workspace.limit_per_s, workspace.limit_burst
