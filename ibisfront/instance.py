"""The entry instance: all parts of one process, put together."""

from __future__ import annotations

__all__: list[str] = []
