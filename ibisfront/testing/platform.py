"""Fake platform as a process: its object API and its control API.

Run ``python -m ibisfront.testing.platform --port 0``. It prints one line
``listening HOST:PORT`` for the object API, then ``control HOST:PORT`` for the
control API, which is not subject to the faults.
"""

from __future__ import annotations

import argparse
from contextlib import suppress
from http import HTTPMethod, HTTPStatus

import msgspec
import trio

from ibisfront.testing.http_messages import Action, Request, Response, json_response
from ibisfront.testing.http_server import HttpServer
from ibisfront.testing.platform_state import FakePlatform
from ibisfront.testing.platform_types import (
    AnswerLost,
    InstanceList,
    Outage,
    PlatformFaults,
    PlatformRefused,
)
from ibisfront.testing.typed_updates import update_struct

__all__ = ["FakePlatform", "PlatformFaults", "PlatformServer", "main"]

LOOPBACK = "127.0.0.1"


class WriteResponse(msgspec.Struct, frozen=True):
    """The body of the response to a write.

    Attributes
    ----------
    version : int or None
        The object's version, if it exists.
    """

    version: int | None


class RevisionResponse(msgspec.Struct, frozen=True):
    """The body of a 404 and of other rejections.

    Attributes
    ----------
    revision : int
        The latest revision.
    """

    revision: int


class PlatformServer:
    """HTTP servers of one fake platform: object API and control API.

    Parameters
    ----------
    platform : FakePlatform
        The fake to serve.

    Attributes
    ----------
    server, control : HttpServer
        The object API, and the control API, which is not subject to the faults.
    """

    __slots__ = ("_platform", "control", "server")

    def __init__(self, platform: FakePlatform) -> None:
        self._platform = platform
        self.server = HttpServer(self._handle)
        self.control = HttpServer(self._handle_control)

    async def _handle(self, request: Request) -> Response:
        try:
            return await self._route(request)
        except AnswerLost:
            return Response(HTTPStatus.SERVICE_UNAVAILABLE, action=Action.CLOSE)
        except PlatformRefused as refused:
            return _rejection(refused)
        except (msgspec.DecodeError, KeyError, ValueError) as error:
            return Response(HTTPStatus.BAD_REQUEST, str(error).encode())

    async def _route(self, request: Request) -> Response:
        query = request.query
        match (request.method, *request.segments):
            case (HTTPMethod.GET, "objects", kind, name):
                return json_response(
                    HTTPStatus.OK, await self._platform.get(kind, name)
                )
            case (HTTPMethod.PUT, "objects", kind, name):
                return await self._put(request, kind, name)
            case (HTTPMethod.DELETE, "objects", kind, name):
                return await self._delete(request, kind, name)
            case (HTTPMethod.GET, "objects"):
                objects = await self._platform.list(_kinds(request))
                return json_response(HTTPStatus.OK, objects)
            case (HTTPMethod.GET, "changes"):
                changes = await self._platform.changes(
                    _kinds(request),
                    after=int(query["after"]),
                    wait_ms=float(query.get("wait_ms", "0")),
                )
                return json_response(HTTPStatus.OK, changes)
            case (HTTPMethod.GET, "instances"):
                return json_response(HTTPStatus.OK, await self._platform.instances())
        return Response(HTTPStatus.NOT_FOUND)

    async def _put(self, request: Request, kind: str, name: str) -> Response:
        if_match = request.headers.get("if-match")
        if if_match is None and request.headers.get("if-none-match") != "*":
            return Response(HTTPStatus.PRECONDITION_REQUIRED)
        version = await self._platform.put(
            kind,
            name,
            msgspec.json.decode(request.body),
            if_version=None if if_match is None else _parse_version(if_match),
        )
        return json_response(HTTPStatus.OK, WriteResponse(version))

    async def _delete(self, request: Request, kind: str, name: str) -> Response:
        if_match = request.headers.get("if-match")
        if if_match is None:
            return Response(HTTPStatus.PRECONDITION_REQUIRED)
        version = await self._platform.delete(
            kind, name, if_version=_parse_version(if_match)
        )
        return json_response(HTTPStatus.OK, WriteResponse(version))

    async def _handle_control(self, request: Request) -> Response:
        try:
            return self._route_control(request)
        except (msgspec.DecodeError, ValueError) as error:
            return Response(HTTPStatus.BAD_REQUEST, str(error).encode())

    def _route_control(self, request: Request) -> Response:
        match (request.method, *request.segments):
            case (HTTPMethod.GET, "control", "state"):
                pass
            case (HTTPMethod.POST, "control", "faults"):
                self._set_faults(update_struct(self._platform.faults, request.body))
            case (HTTPMethod.POST, "control", "instances"):
                instances = msgspec.json.decode(request.body, type=InstanceList)
                self._platform.set_instances(instances)
            case (HTTPMethod.POST, "control", "compact"):
                self._platform.compact()
            case _:
                return Response(HTTPStatus.NOT_FOUND)
        return json_response(HTTPStatus.OK, self._platform.state())

    def _set_faults(self, faults: PlatformFaults) -> None:
        was_refusing = self._platform.faults.outage is Outage.REFUSE
        refusing = faults.outage is Outage.REFUSE
        self._platform.set_faults(faults)
        if refusing and not was_refusing:
            self.server.close_listener()
            self.server.reset_connections()
        elif was_refusing and not refusing:
            self.server.open_listener()


def _kinds(request: Request) -> frozenset[str]:
    return frozenset(request.query["kinds"].split(","))


def _parse_version(tag: str) -> int:
    return int(tag.strip().strip('"'))


def _rejection(refused: PlatformRefused) -> Response:
    if refused.status == HTTPStatus.PRECONDITION_FAILED:
        return json_response(refused.status, WriteResponse(refused.version))
    return json_response(refused.status, RevisionResponse(refused.revision))


async def _serve(arguments: argparse.Namespace) -> None:
    platform_server = PlatformServer(FakePlatform(seed=arguments.seed))
    async with trio.open_nursery() as nursery:
        address = await nursery.start(
            platform_server.server.run, LOOPBACK, arguments.port
        )
        print(f"listening {address}", flush=True)
        control = await nursery.start(
            platform_server.control.run, LOOPBACK, arguments.control_port
        )
        print(f"control {control}", flush=True)


def main() -> None:
    """Run the platform until interrupted."""
    parser = argparse.ArgumentParser(description="Fake platform")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--control-port", type=int, default=0)
    parser.add_argument("--seed", type=int, default=0)
    with suppress(KeyboardInterrupt):
        trio.run(_serve, parser.parse_args())


if __name__ == "__main__":
    main()
