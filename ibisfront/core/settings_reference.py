"""The settings as a page for operators, made from the checked settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from msgspec import inspect

from ibisfront.core.settings import Settings
from ibisfront.core.settings_check import describe_type, find_leaves

if TYPE_CHECKING:
    from ibisfront.core.settings_check import Leaf

__all__ = ["settings_reference"]


def settings_reference() -> str:
    """Return a Markdown table of every setting."""
    lines = ["| Setting | Takes | Default | What for |", "| --- | --- | --- | --- |"]
    lines += [_line(leaf) for leaf in find_leaves(Settings)]
    return "\n".join([*lines, ""])


def _line(leaf: Leaf) -> str:
    default = _default(leaf.field)
    cells = (
        f"`{leaf.key}`",
        describe_type(leaf.field.type),
        default,
        _description(leaf.field.type),
    )
    return f"| {' | '.join(cells)} |"


def _default(field: inspect.Field) -> str:
    if field.required:
        return "must be set"
    if field.default is None or field.default == ():
        return "none"
    if field.default is msgspec.NODEFAULT:
        return "none"
    return f"`{msgspec.json.encode(field.default).decode()}`"


def _description(described: inspect.Type) -> str:
    if not isinstance(described, inspect.Metadata):
        return ""
    return str((described.extra_json_schema or {}).get("description", ""))
