"""Fake backend servers in a process: their HTTP servers and the control API.

Run ``python -m ibisfront.testing.backend --service S --port 0 --count N``. It
prints one line ``listening HOST:PORT NAME`` for each server, then ``control
HOST:PORT`` for the port of the control API, which addresses the servers by
name and is not subject to the faults.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from contextlib import suppress
from http import HTTPMethod, HTTPStatus
from typing import Any

import msgspec
import trio

from ibisfront.core.clock import Clock
from ibisfront.testing.backend_records import search_rows
from ibisfront.testing.backend_state import FakeBackend
from ibisfront.testing.backend_types import (
    BackendFaults,
    BackendReply,
    BackendSettings,
    BackendState,
    ConnectionLost,
    PerformRun,
    WorkRequest,
)
from ibisfront.testing.http_messages import Action, Request, Response, json_response
from ibisfront.testing.http_server import ConnectionCounts, HttpServer
from ibisfront.testing.typed_updates import update_struct

__all__ = [
    "BackendControl",
    "BackendFaults",
    "BackendServer",
    "BackendSettings",
    "FakeBackend",
    "main",
    "search_rows",
]

LOOPBACK = "127.0.0.1"


class WorkBody(msgspec.Struct, frozen=True):
    """The body of ``/search`` and ``/perform``.

    Attributes
    ----------
    service : str
        The requested service.
    request : Any
        The request itself.
    """

    service: str
    request: Any


class SnapshotList(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a request that replaces the snapshots held.

    Attributes
    ----------
    snapshots : tuple of str
        All snapshots held, newest last.
    """

    snapshots: tuple[str, ...]


class ServerReport(msgspec.Struct, frozen=True):
    """The state, address and connection counts of one server.

    Attributes
    ----------
    address : str
        The listening address.
    state : BackendState
        The server's state.
    connections : ConnectionCounts
        The connection counts.
    """

    address: str
    state: BackendState
    connections: ConnectionCounts


class RunReport(msgspec.Struct, frozen=True):
    """The runs of one server.

    Attributes
    ----------
    counts : dict of str to int
        How often a run began, by request id, for the latest ids.
    performed : list of PerformRun
        Every run of a perform request, in order.
    """

    counts: dict[str, int]
    performed: list[PerformRun]


class BackendServer:
    """HTTP server of one fake backend server.

    Parameters
    ----------
    backend : FakeBackend
        The fake to serve.
    nursery : trio.Nursery
        Runs the tasks that reopen the listener after a crash.
    clock : Clock, optional
        Time source.

    Attributes
    ----------
    backend : FakeBackend
        The fake that is served.
    server : HttpServer
        The listening port and its connections.
    """

    __slots__ = ("_clock", "_nursery", "backend", "server")

    def __init__(
        self, backend: FakeBackend, nursery: trio.Nursery, clock: Clock | None = None
    ) -> None:
        self.backend = backend
        self._clock = clock or Clock()
        self._nursery = nursery
        self.server = HttpServer(
            self._handle, admit=self._admit, pause=backend.wait_until_unfrozen
        )
        backend.on_crash = self._close_for_downtime

    def report(self) -> ServerReport:
        """Return the server's state."""
        address = str(self.server.address)
        return ServerReport(address, self.backend.state(), self.server.counts)

    def _close_for_downtime(self, down_ms: float) -> None:
        self.server.close_listener()
        self.server.reset_connections()
        self._nursery.start_soon(self._reopen_after_downtime, down_ms)

    async def _reopen_after_downtime(self, down_ms: float) -> None:
        await self._clock.sleep_ms(down_ms)
        self.server.open_listener()

    async def _admit(self, counts: ConnectionCounts) -> bool:
        settings = self.backend.settings
        if counts.open >= settings.connection_limit:
            return False
        await self._clock.sleep_ms(settings.accept_ms)
        return True

    async def _handle(self, request: Request) -> Response:
        try:
            return await self._route(request)
        except ConnectionLost:
            return Response(HTTPStatus.SERVICE_UNAVAILABLE, action=Action.RESET)
        except (msgspec.DecodeError, ValueError) as error:
            return Response(HTTPStatus.BAD_REQUEST, str(error).encode())

    async def _route(self, request: Request) -> Response:
        match (request.method, *request.segments):
            case (HTTPMethod.POST, "search"):
                work = _parse_work(request, request.headers.get("x-snapshot", ""))
                return _render(await self.backend.search(work))
            case (HTTPMethod.POST, "perform"):
                return _render(await self.backend.perform(_parse_work(request, None)))
            case (HTTPMethod.GET, "load"):
                return json_response(HTTPStatus.OK, await self.backend.load())
            case (HTTPMethod.GET, "healthz"):
                await self.backend.healthz()
                return Response(HTTPStatus.OK)
        return Response(HTTPStatus.NOT_FOUND)


def _parse_work(request: Request, snapshot: str | None) -> WorkRequest:
    body = msgspec.json.decode(request.body, type=WorkBody)
    deadline = request.headers.get("x-deadline-ms")
    return WorkRequest(
        service=body.service,
        request=body.request,
        request_id=request.headers.get("x-request-id", ""),
        deadline_ms=None if deadline is None else float(deadline),
        snapshot=snapshot,
    )


def _render(reply: BackendReply) -> Response:
    headers = {
        "X-Request-Id": reply.request_id,
        "X-Snapshots": ",".join(reply.snapshots),
    }
    if reply.draining:
        headers["X-Draining"] = "1"
    if reply.not_run is not None:
        headers["X-Not-Run"] = reply.not_run.value
    if reply.retry_after_ms is not None:
        headers["Retry-After-Ms"] = str(reply.retry_after_ms)
    response = json_response(reply.status, reply.body, headers)
    return msgspec.structs.replace(response, copies=reply.copies)


class BackendControl:
    """Control API of all fake backend servers of a process.

    Parameters
    ----------
    servers : list of BackendServer
        The servers; their names are unique.

    Attributes
    ----------
    server : HttpServer
        The port of the control API.
    """

    __slots__ = ("_servers", "server")

    def __init__(self, servers: list[BackendServer]) -> None:
        self._servers = {server.backend.name: server for server in servers}
        self.server = HttpServer(self._handle)

    async def _handle(self, request: Request) -> Response:
        try:
            return self._route(request)
        except KeyError as error:
            return Response(HTTPStatus.NOT_FOUND, f"no server {error}".encode())
        except (msgspec.DecodeError, ValueError) as error:
            return Response(HTTPStatus.BAD_REQUEST, str(error).encode())

    def _route(self, request: Request) -> Response:
        match (request.method, *request.segments):
            case (HTTPMethod.GET, "control", "servers"):
                reports = [server.report() for server in self._servers.values()]
                return json_response(HTTPStatus.OK, reports)
            case (HTTPMethod.GET, "control", "servers", name):
                return json_response(HTTPStatus.OK, self._servers[name].report())
            case (HTTPMethod.GET, "control", "servers", name, "runs"):
                runs = self._servers[name].backend.runs
                report = RunReport(runs.counts, runs.performed)
                return json_response(HTTPStatus.OK, report)
            case (HTTPMethod.POST, "control", "servers", name, command):
                return _run_command(self._servers[name], command, request.body)
        return Response(HTTPStatus.NOT_FOUND)


def _set_faults(server: BackendServer, body: bytes) -> None:
    server.backend.set_faults(update_struct(server.backend.faults, body))


def _set_snapshots(server: BackendServer, body: bytes) -> None:
    listed = msgspec.json.decode(body, type=SnapshotList)
    server.backend.set_snapshots(listed.snapshots)


def _silence(server: BackendServer, _body: bytes) -> None:
    server.server.silence_connections()


def _reset(server: BackendServer, _body: bytes) -> None:
    server.server.reset_connections()


def _crash(server: BackendServer, _body: bytes) -> None:
    server.backend.crash()


def _restart(server: BackendServer, _body: bytes) -> None:
    server.backend.restart()


COMMANDS: dict[str, Callable[[BackendServer, bytes], None]] = {
    "faults": _set_faults,
    "snapshots": _set_snapshots,
    "silence": _silence,
    "reset": _reset,
    "crash": _crash,
    "restart": _restart,
}


def _run_command(server: BackendServer, command: str, body: bytes) -> Response:
    if command not in COMMANDS:
        return Response(HTTPStatus.NOT_FOUND, f"no command {command}".encode())
    COMMANDS[command](server, body)
    return json_response(HTTPStatus.OK, server.report())


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="Fake backend servers")
    parser.add_argument("--service", required=True, action="append")
    parser.add_argument("--port", type=int, default=0, help="port of the first server")
    parser.add_argument("--control-port", type=int, default=0)
    parser.add_argument("--count", type=int, default=1, help="servers per service")
    for field in msgspec.structs.fields(BackendSettings):
        option = "--" + field.name.replace("_", "-")
        parser.add_argument(option, type=type(field.default), default=field.default)
    return parser.parse_args()


def _make_backends(arguments: argparse.Namespace) -> list[FakeBackend]:
    settings = msgspec.convert(arguments, BackendSettings, from_attributes=True)
    return [
        FakeBackend(service, f"{service}-{number}", settings=settings)
        for service in arguments.service
        for number in range(arguments.count)
    ]


async def _serve(arguments: argparse.Namespace) -> None:
    async with trio.open_nursery() as nursery:
        backends = _make_backends(arguments)
        servers = [BackendServer(backend, nursery) for backend in backends]
        for number, server in enumerate(servers):
            port = arguments.port + number if arguments.port else 0
            address = await nursery.start(server.server.run, LOOPBACK, port)
            print(f"listening {address} {server.backend.name}", flush=True)
        control = BackendControl(servers)
        address = await nursery.start(
            control.server.run, LOOPBACK, arguments.control_port
        )
        print(f"control {address}", flush=True)


def main() -> None:
    """Run the backend servers until interrupted."""
    with suppress(KeyboardInterrupt):
        trio.run(_serve, _parse_arguments())


if __name__ == "__main__":
    main()
