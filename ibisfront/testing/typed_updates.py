"""Partial updates of typed structs from JSON."""

from __future__ import annotations

from typing import TypeVar

import msgspec

__all__ = ["update_struct"]

StructT = TypeVar("StructT", bound=msgspec.Struct)


def update_struct(current: StructT, body: bytes) -> StructT:
    """Return a struct with the fields of a JSON object replaced.

    Parameters
    ----------
    current : Struct
        The values of the fields that the JSON object omits.
    body : bytes
        The JSON object; an empty body changes nothing.

    Raises
    ------
    msgspec.DecodeError
        If the body is not JSON.
    msgspec.ValidationError
        If a field has the wrong type, or is unknown and the struct forbids that.
    """
    changed = msgspec.json.decode(body or b"{}", type=dict[str, object])
    fields = {**msgspec.to_builtins(current), **changed}
    return msgspec.convert(fields, type=type(current))
