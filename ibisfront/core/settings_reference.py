"""Reference of all settings for operators, generated from their definitions."""

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
    """Return a Markdown table of all settings."""
    lines = ["| Setting | Value | Default | Description |", "| --- | --- | --- | --- |"]
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
        return "required"
    if field.default is None or field.default == ():
        return "none"
    if field.default is msgspec.NODEFAULT:
        return "none"
    return f"`{msgspec.json.encode(field.default).decode()}`"


def _description(setting_type: inspect.Type) -> str:
    if not isinstance(setting_type, inspect.Metadata):
        return ""
    return str((setting_type.extra_json_schema or {}).get("description", ""))
