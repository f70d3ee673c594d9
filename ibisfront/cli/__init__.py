"""The operators' command line."""

from __future__ import annotations

from ibisfront.cli.application import main

__all__ = ["main"]
