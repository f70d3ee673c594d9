"""Command line for operators."""

from __future__ import annotations

from ibisfront.cli.application import main

__all__ = ["main"]
