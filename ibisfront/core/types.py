"""Shared aliases."""

from __future__ import annotations

from typing import Literal, TypeAlias

__all__ = ["Address", "JsonBytes", "ServerState", "Version"]

Version: TypeAlias = int
"""A platform version: one counter over all objects, so newest is largest."""

JsonBytes: TypeAlias = bytes
"""A JSON document as UTF-8 bytes, not yet decoded."""

Address: TypeAlias = str
"""A TCP address, ``IP:PORT``."""

ServerState: TypeAlias = Literal["live", "draining"]
"""What operators say of a backend server."""
