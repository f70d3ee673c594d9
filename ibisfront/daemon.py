"""The daemon: reads the settings and runs one entry instance."""

from __future__ import annotations

__all__: list[str] = []
