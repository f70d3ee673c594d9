"""A client of the platform's object API, over HTTP with ``httpcore``."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar
from urllib.parse import quote

import httpcore
import msgspec

from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.members import Member
from ibisfront.core.objects import ObjectKind, VersionedObject, WriteConflict

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.core.types import Address, JsonBytes, Version

__all__ = ["InstanceEntry", "ObjectsRead", "PlatformClient", "WriteConflict"]

_CALL_TIMEOUT_S = 2.0
_Body = TypeVar("_Body", bound=msgspec.Struct)


class _ObjectBody(msgspec.Struct):
    kind: ObjectKind
    name: str
    version: int
    value: msgspec.Raw = msgspec.Raw(b"null")


class _ObjectsBody(msgspec.Struct):
    revision: int
    objects: list[_ObjectBody]


class _VersionBody(msgspec.Struct):
    version: int | None = None


class InstanceEntry(msgspec.Struct, frozen=True):
    """One instance in the platform's list, which may be stale.

    Attributes
    ----------
    name, zone : str
        The instance and its availability zone.
    peer_address, admin_address : str
        The ``IP:PORT`` for its peers and for its operators.
    state : str
        ``live`` or ``leaving``.
    """

    name: str
    zone: str
    peer_address: str
    admin_address: str
    state: str = "live"


class _InstancesBody(msgspec.Struct):
    instances: list[InstanceEntry]


class ObjectsRead(msgspec.Struct, frozen=True):
    """Objects as read at one revision of the platform."""

    revision: int
    objects: tuple[VersionedObject, ...]


class PlatformClient:
    """Client of the platform; each connection carries one call at a time.

    Parameters
    ----------
    address : str
        The platform's ``IP:PORT``.
    outgoing_ip : str, optional
        The local IP of its connections; chosen by the system if omitted.
    """

    __slots__ = ("_pool", "_url")

    def __init__(self, address: Address, *, outgoing_ip: str | None = None) -> None:
        self._url = f"http://{address}"
        self._pool = httpcore.AsyncConnectionPool(retries=0, local_address=outgoing_ip)

    async def get(self, kind: ObjectKind, name: str) -> VersionedObject | None:
        """Return an object, or None if there is none.

        Raises
        ------
        IbisfrontError
            ``platform_unavailable``.
        """
        response = await self._call("GET", _object_target(kind, name))
        if response.status == 404:
            return None
        return _versioned_object(_decode_body(response, _ObjectBody))

    async def list_objects(self, kinds: Sequence[ObjectKind]) -> ObjectsRead:
        """Return every object of the given kinds."""
        response = await self._call("GET", f"/objects?kinds={','.join(kinds)}")
        return _objects_read(response)

    async def changes(
        self, kinds: Sequence[ObjectKind], *, after: Version, wait_ms: float
    ) -> ObjectsRead | None:
        """Wait for changes after a revision; None if the revision is too old."""
        response = await self._call(
            "GET",
            f"/changes?kinds={','.join(kinds)}&after={after}&wait_ms={wait_ms:.0f}",
            timeout_s=_CALL_TIMEOUT_S + wait_ms / 1000,
        )
        return None if response.status == 410 else _objects_read(response)

    async def put(
        self,
        kind: ObjectKind,
        name: str,
        value_json: JsonBytes,
        *,
        if_version: Version | None,
    ) -> Version:
        """Replace one version of an object, or create it, and return the new one.

        Parameters
        ----------
        kind, name
            The object.
        value_json : bytes
            Its new value.
        if_version : int or None
            The version to replace; None to create the object.

        Raises
        ------
        WriteConflict
            If the object has another version; nothing was written.
        IbisfrontError
            ``write_unknown``: the write may take effect now or later.
        """
        condition = (
            (b"If-None-Match", b"*")
            if if_version is None
            else (b"If-Match", f'"{if_version}"'.encode())
        )
        try:
            response = await self._call(
                "PUT", _object_target(kind, name), condition, content=value_json
            )
        except IbisfrontError as error:
            raise IbisfrontError(ErrorKind.WRITE_UNKNOWN, error.detail) from error
        if response.status == 412:
            raise WriteConflict(f"{kind}/{name} is not at version {if_version}")
        if response.status != 200:
            raise IbisfrontError(
                ErrorKind.BAD_REQUEST,
                f"the platform rejected {kind}/{name} with status {response.status}",
            )
        return _written_version(response)

    async def instances(self) -> list[InstanceEntry]:
        """Return the platform's list of instances, which may be stale."""
        response = await self._call("GET", "/instances")
        return _decode_body(response, _InstancesBody).instances

    async def members(self) -> list[Member]:
        """Return the listed instances that are live, as seed members."""
        return [
            Member(item.name, item.zone, item.peer_address, item.admin_address)
            for item in await self.instances()
            if item.state == "live"
        ]

    async def aclose(self) -> None:
        """Close every connection."""
        await self._pool.aclose()

    async def _call(
        self,
        method: str,
        target: str,
        *headers: tuple[bytes, bytes],
        content: bytes = b"",
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> httpcore.Response:
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
        try:
            response = await self._pool.request(
                method,
                self._url + target,
                headers=list(headers),
                content=content,
                extensions={"timeout": timeouts},
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            raise _unavailable(f"{method} {target}: {error!r}") from error
        if response.status >= 500 or response.status == 429:
            raise _unavailable(f"{method} {target}: status {response.status}")
        return response


def _object_target(kind: ObjectKind, name: str) -> str:
    # Service names are chosen by operators. A slash or question mark that is
    # not quoted would address another object.
    return f"/objects/{kind}/{quote(name, safe='')}"


def _unavailable(detail: str) -> IbisfrontError:
    return IbisfrontError(ErrorKind.PLATFORM_UNAVAILABLE, detail)


def _decode_body(response: httpcore.Response, body_type: type[_Body]) -> _Body:
    # A proxy or a faulty platform can return a body that is not of the object
    # API. To the callers of this client that is an outage.
    try:
        return msgspec.json.decode(response.content, type=body_type)
    except msgspec.MsgspecError as error:
        raise _unavailable(f"status {response.status}: {error}") from error


def _written_version(response: httpcore.Response) -> Version:
    try:
        version = _decode_body(response, _VersionBody).version
    except IbisfrontError as error:
        raise IbisfrontError(ErrorKind.WRITE_UNKNOWN, error.detail) from error
    if version is None:
        raise IbisfrontError(ErrorKind.WRITE_UNKNOWN, "no version in the response")
    return version


def _objects_read(response: httpcore.Response) -> ObjectsRead:
    decoded = _decode_body(response, _ObjectsBody)
    objects = tuple(_versioned_object(item) for item in decoded.objects)
    return ObjectsRead(decoded.revision, objects)


def _versioned_object(item: _ObjectBody) -> VersionedObject:
    value = bytes(item.value)
    return VersionedObject(
        item.kind, item.name, item.version, None if value == b"null" else value
    )
