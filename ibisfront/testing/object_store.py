"""A stand-in of the platform's store, by its published protocol."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec
import trio

from ibisfront.core.clock import Clock
from ibisfront.gateway.messages import CallerReply
from ibisfront.gateway.state.configuration import CallerLimits
from ibisfront.http1.caller_listener import CallerListener
from ibisfront.http1.listening import listening_socket
from ibisfront.platform.headers import WIRE

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ibisfront.gateway.messages import InboundRequest

__all__ = ["StandInStore"]

_PAGE = 500
_LIMITS = CallerLimits(maximum_body_bytes=4 * 1024 * 1024, idle_timeout_ms=60_000.0)


class _Event(msgspec.Struct):
    """One change, as the history keeps it."""

    revision: int
    kind: str
    object: dict[str, Any]
    deleted: bool


class StandInStore:
    """Objects by kind and name, with one revision counter and a history.

    Bodies are maps here, as they are on the wire: the stand-in must not share
    the client's types, or both would be wrong in the same way.

    Attributes
    ----------
    refuses_with : int
        The status that every call gets; 0 if it is well.
    is_silent : bool
        Whether calls get no answer.
    loses_writes : int
        How many writes are done and not answered.
    calls : list of str
        Method and target of every call.
    address : str
        Where it listens, once it runs.
    page : int
        How many objects a list returns at once.
    """

    def __init__(self) -> None:
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[_Event] = []
        self._forgotten = 0
        self._revision = 1
        self._changed = trio.Event()
        self.refuses_with = 0
        self.is_silent = False
        self.loses_writes = 0
        self.calls: list[str] = []
        self.address = ""
        self.page = _PAGE

    @asynccontextmanager
    async def running(self) -> AsyncIterator[StandInStore]:
        """Serve on a free port for the length of the block."""
        sock = listening_socket("127.0.0.1:0")
        host, port = sock.getsockname()
        self.address = f"{host}:{port}"
        listener = CallerListener(
            sock,
            answer=self._answer,
            wire=WIRE,
            limits=lambda: _LIMITS,
            clock=Clock(),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(listener.run)
            yield self
            nursery.cancel_scope.cancel()

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object as the operator or a server would."""
        objects = self._objects.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known["spec"] == spec:
            return
        self._revision += 1
        made = self._revision if known is None else known["meta"]["createRevision"]
        meta: dict[str, Any] = {
            "name": name,
            "rev": self._revision,
            "createRevision": made,
            "finalizers": [],
            "deleting": False,
        }
        objects[name] = {"meta": meta, "spec": spec, "status": None}
        self._note(kind, objects[name], deleted=False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self._objects.get(kind, {}).pop(name, None)
        if found is not None:
            self._revision += 1
            self._note(kind, found, deleted=True)

    def forget_history(self) -> None:
        """Drop the history; watches from before get 410."""
        self._history.clear()
        self._forgotten = self._revision
        self._wake()

    def names(self, kind: str) -> list[str]:
        """Return the names of a kind's objects."""
        return sorted(self._objects.get(kind, {}))

    def spec(self, kind: str, name: str) -> object:
        """Return what an object holds."""
        return self._objects[kind][name]["spec"]

    def _note(self, kind: str, item: dict[str, Any], *, deleted: bool) -> None:
        self._history.append(_Event(self._revision, kind, item, deleted))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def _answer(self, request: InboundRequest) -> CallerReply:
        self.calls.append(f"{request.method.decode()} {request.target.decode()}")
        if self.is_silent:
            await trio.sleep_forever()
        if self.refuses_with:
            return CallerReply(self.refuses_with, [], b"", "refused")
        parts = urlsplit(request.target.decode())
        options = {key: values[0] for key, values in parse_qs(parts.query).items()}
        _, _, kind, *rest = parts.path.split("/")
        name = unquote(rest[0]) if rest else ""
        if request.method == b"GET":
            return await self._read(kind, name, options)
        reply = self._write(request, kind, name, options)
        if self.loses_writes:
            self.loses_writes -= 1
            await trio.sleep_forever()
        return reply

    async def _read(self, kind: str, name: str, options: dict[str, str]) -> CallerReply:
        if name:
            found = self._objects.get(kind, {}).get(name)
            return _json(404, {}) if found is None else _json(200, found)
        if "watch" in options:
            return await self._watch(kind, int(options["watch"]), options)
        names = [item for item in self.names(kind) if item > options.get("after", "")]
        items = [self._objects[kind][item] for item in names[: self.page]]
        more = len(names) > self.page
        return _json(200, {"items": items, "more": more, "currentRev": self._revision})

    async def _watch(
        self, kind: str, revision: int, options: dict[str, str]
    ) -> CallerReply:
        with trio.move_on_after(int(options.get("waitMs", "0")) / 1000.0):
            while True:
                if revision < self._forgotten:
                    return _json(410, {})
                if self._events(kind, revision):
                    break
                await self._changed.wait()
        events = [
            {"object": item.object, "deleted": item.deleted}
            for item in self._events(kind, revision)
        ]
        return _json(200, {"events": events, "currentRev": self._revision})

    def _events(self, kind: str, revision: int) -> list[_Event]:
        return [
            item
            for item in self._history
            if item.kind == kind and item.revision > revision
        ]

    def _write(
        self, request: InboundRequest, kind: str, name: str, options: dict[str, str]
    ) -> CallerReply:
        body = msgspec.json.decode(request.body) if request.body else {}
        meta = body.get("meta", {})
        name = name or meta.get("name", "")
        found = self._objects.get(kind, {}).get(name)
        if request.method == b"POST":
            if found is not None:
                return _json(409, found)
        elif found is None:
            return _json(404, {})
        else:
            revision = meta.get("rev", options.get("rev"))
            if revision is not None and int(revision) != found["meta"]["rev"]:
                return _json(409, found)
        if request.method == b"DELETE":
            self.remove(kind, name)
            return _json(200, {})
        self.put(kind, name, body.get("spec"))
        return _json(200, self._objects[kind][name])


def _json(status: int, body: object) -> CallerReply:
    headers = [(b"Content-Type", b"application/json")]
    # The lenient encoder: what another writer has put there goes out as it is.
    text = json.dumps(body, separators=(",", ":"))
    return CallerReply(status, headers, text.encode(), "store")
