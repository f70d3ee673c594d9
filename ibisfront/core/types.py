"""Shared type aliases."""

from __future__ import annotations

from typing import Literal, TypeAlias

__all__ = ["Address", "JsonBytes", "ServerState", "Version"]

Version: TypeAlias = int
"""A platform version, from one counter over all objects: the newest is the largest."""

JsonBytes: TypeAlias = bytes
"""A JSON document as UTF-8 bytes, not yet decoded."""

Address: TypeAlias = str
"""A TCP address, ``IP:PORT``."""

ServerState: TypeAlias = Literal["live", "draining"]
"""State of a backend server, as set by operators."""
