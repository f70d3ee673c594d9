"""Partial updates of typed settings from JSON."""

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
        The values of the fields that the JSON object leaves out.
    body : bytes
        The JSON object; an empty body changes nothing.

    Raises
    ------
    msgspec.DecodeError
        If the body is not JSON.
    msgspec.ValidationError
        If a field is unknown (and the struct forbids that) or of another type.
    """
    changed = msgspec.json.decode(body or b"{}", type=dict[str, object])
    fields = {**msgspec.to_builtins(current), **changed}
    return msgspec.convert(fields, type=type(current))
