"""The operators' HTTP interface, authorized by a bearer token."""

from __future__ import annotations

import hmac
import re
from typing import TYPE_CHECKING, Protocol, TypeVar

import msgspec

from ibisfront.adapters.http import HttpRequest, HttpResponse, Route, json_response
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.metrics_text import CONTENT_TYPE, Gauge, metrics_text
from ibisfront.core.service import BackendServer, Service
from ibisfront.core.service_edit import add_server, drain_server, remove_server
from ibisfront.core.settings_check import address_problem
from ibisfront.core.table import EditSummary, Table
from ibisfront.core.table_edit import TableProposal, edit_table, read_table
from ibisfront.core.types import Version

if TYPE_CHECKING:
    from ibisfront.adapters.asgi import Authorize
    from ibisfront.core.catalogue import Catalogue
    from ibisfront.core.clock import Clock
    from ibisfront.core.conditional_platform import ConditionalPlatform
    from ibisfront.core.counters import Counters
    from ibisfront.core.latencies import Latencies
    from ibisfront.core.status import InstanceStatus, TierStatus
    from ibisfront.core.stopping import Stopping

__all__ = [
    "AdministeredInstance",
    "NamedService",
    "TableView",
    "admin_routes",
    "bearer_authorization",
    "health_routes",
]

_ADMIN = "/v1/admin/"
_SERVERS = _ADMIN + r"services/([^/]+)/servers"
_HEALTH = "health"
_Body = TypeVar("_Body")


class TableView(msgspec.Struct, frozen=True):
    """The table at one version.

    Attributes
    ----------
    version : int
        The version; 0 if there is no table.
    table : Table
        Its purposes and rows, without its history.
    """

    version: Version
    table: Table


class NamedService(msgspec.Struct, frozen=True):
    """One service and its name, as this instance has it."""

    name: str
    service: Service


class AdministeredInstance(Protocol):
    """What the operators' interface uses of an instance."""

    catalogue: Catalogue
    counters: Counters
    latencies: Latencies
    stopping: Stopping

    @property
    def ready(self) -> bool:
        """Whether the balancer may send callers' requests here."""
        ...

    def status(self) -> InstanceStatus:
        """Return this instance's own status."""
        ...

    async def status_of_all(self) -> TierStatus:
        """Request the status of every instance that has not left."""
        ...


def bearer_authorization(token: str) -> Authorize:
    """Return a check that accepts only requests with a bearer token.

    The comparison takes constant time, so that response times do not reveal
    how much of a wrong token matches.
    """
    expected = token.encode()

    def authorize(headers: dict[str, str]) -> None:
        scheme, _, given = headers.get("authorization", "").partition(" ")
        matches = hmac.compare_digest(given.strip().encode("latin-1"), expected)
        if scheme.lower() != "bearer" or not matches:
            raise IbisfrontError(
                ErrorKind.UNAUTHORIZED,
                "send the header Authorization: Bearer TOKEN, with admin.token of"
                " the instance's settings",
            )

    return authorize


def health_routes(instance: AdministeredInstance) -> tuple[Route, ...]:
    """Return the routes of the balancer's health checks."""

    async def alive(request: HttpRequest) -> HttpResponse:
        return json_response({"alive": True}, outcome=_HEALTH)

    async def ready(request: HttpRequest) -> HttpResponse:
        return json_response(
            {"ready": instance.ready},
            status=200 if instance.ready else 503,
            outcome=_HEALTH,
        )

    return (
        Route("GET", re.compile("/healthz"), alive),
        Route("GET", re.compile("/readyz"), ready),
    )


def admin_routes(
    instance: AdministeredInstance, *, platform: ConditionalPlatform, clock: Clock
) -> tuple[Route, ...]:
    """Return the operators' routes.

    Parameters
    ----------
    instance : AdministeredInstance
        The instance.
    platform : ConditionalPlatform
        Where edits are written.
    clock : Clock
        The tier's clock.
    """
    return (
        *_read_only_routes(instance),
        *_table_routes(instance, platform, clock),
        *_service_routes(instance, platform, clock),
    )


def _read_only_routes(instance: AdministeredInstance) -> tuple[Route, ...]:
    async def metrics(request: HttpRequest) -> HttpResponse:
        text = metrics_text(
            instance.counters.values(), instance.latencies.samples(), _gauges(instance)
        )
        return HttpResponse(200, text.encode(), CONTENT_TYPE)

    async def status(request: HttpRequest) -> HttpResponse:
        return json_response(await instance.status_of_all())

    async def counters(request: HttpRequest) -> HttpResponse:
        return json_response(instance.counters.values())

    async def latency(request: HttpRequest) -> HttpResponse:
        return json_response(instance.latencies.values())

    return (
        Route("GET", re.compile("/metrics"), metrics),
        Route("GET", re.compile(_ADMIN + "status"), status),
        Route("GET", re.compile(_ADMIN + "counters"), counters),
        Route("GET", re.compile(_ADMIN + "latency"), latency),
    )


def _table_routes(
    instance: AdministeredInstance, platform: ConditionalPlatform, clock: Clock
) -> tuple[Route, ...]:
    async def get(request: HttpRequest) -> HttpResponse:
        current = await read_table(platform)
        return json_response(_table_view(current.version, current.table))

    async def in_force(request: HttpRequest) -> HttpResponse:
        table = instance.catalogue.table or Table()
        return json_response(_table_view(instance.catalogue.table_version, table))

    async def history(request: HttpRequest) -> HttpResponse:
        current = await read_table(platform)
        edits: tuple[EditSummary, ...] = current.table.history
        return json_response(edits)

    async def put(request: HttpRequest) -> HttpResponse:
        proposal = _decode_body(request.body, TableProposal)
        accepted = await edit_table(platform, proposal, clock=clock)
        return json_response(accepted, outcome="edit_accepted")

    return (
        Route("GET", re.compile(_ADMIN + "table"), get),
        Route("PUT", re.compile(_ADMIN + "table"), put),
        Route("GET", re.compile(_ADMIN + "table/in-force"), in_force),
        Route("GET", re.compile(_ADMIN + "table/history"), history),
    )


def _service_routes(
    instance: AdministeredInstance, platform: ConditionalPlatform, clock: Clock
) -> tuple[Route, ...]:
    async def list_all(request: HttpRequest) -> HttpResponse:
        catalogue = instance.catalogue
        return json_response(
            [
                NamedService(name, catalogue.service(name) or Service())
                for name in catalogue.service_names()
            ]
        )

    async def add(request: HttpRequest) -> HttpResponse:
        server = _decode_body(request.body, BackendServer)
        _validate_server(server)
        edited = await add_server(platform, request.path_params[0], server, clock=clock)
        return json_response(edited, outcome="edit_accepted")

    async def drain(request: HttpRequest) -> HttpResponse:
        edited = await drain_server(platform, *request.path_params, clock=clock)
        return json_response(edited, outcome="edit_accepted")

    async def remove(request: HttpRequest) -> HttpResponse:
        edited = await remove_server(platform, *request.path_params, clock=clock)
        return json_response(edited, outcome="edit_accepted")

    return (
        Route("GET", re.compile(_ADMIN + "services"), list_all),
        Route("POST", re.compile(_SERVERS), add),
        Route("POST", re.compile(_SERVERS + "/([^/]+)/drain"), drain),
        Route("DELETE", re.compile(_SERVERS + "/([^/]+)"), remove),
    )


def _gauges(instance: AdministeredInstance) -> list[Gauge]:
    status = instance.status()
    in_flight = len(instance.stopping.requests)
    return [
        Gauge("ready", "Whether the balancer may send callers.", int(status.ready)),
        Gauge("table_version", "The table in force here.", status.table_version),
        Gauge("revision", "The platform's revision known here.", status.revision),
        Gauge("members", "Instances believed to serve.", status.members),
        Gauge("requests_in_flight", "Callers' requests running.", in_flight),
    ]


def _table_view(version: Version, table: Table) -> TableView:
    return TableView(version, msgspec.structs.replace(table, history=()))


def _validate_server(server: BackendServer) -> None:
    # An address that no connection can be opened to would only show up as
    # failed searches of every branch, at every instance.
    problem = address_problem(server.address)
    if problem is not None:
        raise IbisfrontError(
            ErrorKind.BAD_REQUEST,
            f"the address is {server.address!r}, {problem}: write IP:PORT",
        )
    if not server.name or not server.zone:
        raise IbisfrontError(
            ErrorKind.BAD_REQUEST, "name or zone is empty: a server needs both"
        )


def _decode_body(body: bytes, body_type: type[_Body]) -> _Body:
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise IbisfrontError(
            ErrorKind.BAD_REQUEST,
            f"the body is not what docs/INTERFACE.md says: {error}",
        ) from error
