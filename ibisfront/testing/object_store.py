"""Fake object store that implements the platform's published protocol."""

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

__all__ = ["FakeObjectStore", "StoreCopy"]

_PAGE_OBJECTS = 500
_LIMITS = CallerLimits(maximum_body_bytes=4 * 1024 * 1024, idle_timeout_ms=60_000.0)


class StoreCopy(msgspec.Struct, frozen=True):
    """A copy of a store's content, from which it may come back."""

    revision: int
    content: bytes


class _Event(msgspec.Struct):
    """One change in the history."""

    revision: int
    kind: str
    object: dict[str, Any]
    deleted: bool


class FakeObjectStore:
    """Objects by kind and name, with a single revision counter and a history.

    Bodies are plain dicts as on the wire: if the fake shared the client's
    types, an error in them would go unnoticed.

    Attributes
    ----------
    error_status : int
        The status that every call gets; 0 if calls succeed.
    is_silent : bool
        Whether calls get no response.
    lost_write_responses : int
        Number of further writes that take effect but get no response.
    calls : list of str
        Method and target of every call.
    address : str
        The listening address, once running.
    page : int
        Maximum number of objects per list response.
    era : int or None
        How often it came back from a copy, stated in all answers; None to state none.
    """

    def __init__(self) -> None:
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[_Event] = []
        self._compacted_revision = 0
        self._revision = 1
        self._changed = trio.Event()
        self.error_status = 0
        self.is_silent = False
        self.lost_write_responses = 0
        self.calls: list[str] = []
        self.address = ""
        self.page = _PAGE_OBJECTS
        self.era: int | None = None
        # Contents by the encoded text that stands for them in an object.
        self._as_written: dict[bytes, bytes] = {}

    @asynccontextmanager
    async def running(self) -> AsyncIterator[FakeObjectStore]:
        """Serve on a free port while the context is open."""
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
        """Write an object, as an operator or a backend server does."""
        objects = self._objects.setdefault(kind, {})
        existing = objects.get(name)
        if existing is not None and existing["spec"] == spec:
            return
        self._revision += 1
        create_revision = (
            self._revision if existing is None else existing["meta"]["createRevision"]
        )
        meta: dict[str, Any] = {
            "name": name,
            "rev": self._revision,
            "createRevision": create_revision,
            "finalizers": [],
            "deleting": False,
        }
        objects[name] = {"meta": meta, "spec": spec, "status": None}
        self._record_event(kind, objects[name], deleted=False)

    def put_as_written(self, kind: str, name: str, content: bytes) -> None:
        """Write an object whose content is returned as these bytes, valid or not."""
        mark = f"content of {kind}/{name}"
        self._as_written[json.dumps(mark).encode()] = content
        self.put(kind, name, mark)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self._objects.get(kind, {}).pop(name, None)
        if found is not None:
            self._revision += 1
            self._record_event(kind, found, deleted=True)

    def compact(self) -> None:
        """Drop the history; watches from earlier revisions get 410."""
        self._history.clear()
        self._compacted_revision = self._revision
        self._notify_watches()

    def copy(self) -> StoreCopy:
        """Return a copy of all objects."""
        return StoreCopy(self._revision, msgspec.msgpack.encode(self._objects))

    def come_back_from(self, copy: StoreCopy) -> None:
        """Lose what was written since a copy; its revisions are given out again."""
        self._objects = msgspec.msgpack.decode(copy.content)
        self._revision = copy.revision
        self._history = [
            item for item in self._history if item.revision <= copy.revision
        ]
        self.era = 1 if self.era is None else self.era + 1
        self._notify_watches()

    def names(self, kind: str) -> list[str]:
        """Return the names of a kind's objects."""
        return sorted(self._objects.get(kind, {}))

    def spec(self, kind: str, name: str) -> object:
        """Return the spec of an object."""
        return self._objects[kind][name]["spec"]

    def _record_event(self, kind: str, item: dict[str, Any], *, deleted: bool) -> None:
        self._history.append(_Event(self._revision, kind, item, deleted))
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def _answer(self, request: InboundRequest) -> CallerReply:
        self.calls.append(f"{request.method.decode()} {request.target.decode()}")
        if self.is_silent:
            await trio.sleep_forever()
        reply = await self._respond(request)
        for mark, content in self._as_written.items():
            reply.body = reply.body.replace(mark, content)
        if self.era is not None:
            reply.headers.append((b"Store-Era", b"%d" % self.era))
        return reply

    async def _respond(self, request: InboundRequest) -> CallerReply:
        if self.error_status:
            return CallerReply(self.error_status, [], b"", "refused")
        parts = urlsplit(request.target.decode())
        options = {key: values[0] for key, values in parse_qs(parts.query).items()}
        _, _, kind, *rest = parts.path.split("/")
        name = unquote(rest[0]) if rest else ""
        if request.method == b"GET":
            return await self._read(kind, name, options)
        reply = self._write(request, kind, name, options)
        if self.lost_write_responses:
            self.lost_write_responses -= 1
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
                if not self._compacted_revision <= revision <= self._revision:
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
    # json, unlike msgspec, returns unchanged whatever another writer stored.
    text = json.dumps(body, separators=(",", ":"))
    return CallerReply(status, headers, text.encode(), "store")
