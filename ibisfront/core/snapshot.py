"""Snapshots of an index, and the services that hold each of them."""

from __future__ import annotations

import msgspec

__all__ = ["Index", "Snapshot"]


class Snapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One published snapshot of an index, with its partition map.

    Attributes
    ----------
    name : str
        The name of the snapshot on the backend servers.
    services : tuple of str
        The services that hold its partitions; each row is in exactly one.
    """

    name: str
    services: tuple[str, ...]


class Index(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A searchable index: its published snapshots, oldest first."""

    snapshots: tuple[Snapshot, ...] = ()
