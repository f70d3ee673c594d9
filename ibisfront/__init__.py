"""A query tier between callers and sharded back ends."""

from __future__ import annotations

__version__ = "0.1.0"

__all__ = ["__version__"]
