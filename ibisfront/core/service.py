"""Services and the backend servers that run them."""

from __future__ import annotations

import msgspec

from ibisfront.core.types import Address, ServerState

__all__ = ["BackendServer", "Service"]


class BackendServer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One backend server, as operators registered it.

    Attributes
    ----------
    name : str
        Its name, unique across all services.
    address : str
        Its ``IP:PORT``.
    zone : str
        Its availability zone.
    state : {"live", "draining"}
        Whether it may receive new work.
    """

    name: str
    address: Address
    zone: str
    state: ServerState = "live"


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One shard of an index, or one destination of non-idempotent work.

    Attributes
    ----------
    backend_servers : tuple of BackendServer
        The replicas, each of which serves the whole service.
    """

    backend_servers: tuple[BackendServer, ...] = ()
