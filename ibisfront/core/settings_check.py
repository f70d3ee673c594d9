"""Finding all faults of a settings file at once.

``msgspec`` stops at the first fault of a document, so each value is checked
by itself here and the faults are gathered, so that an operator mends a file in
one go.
"""

from __future__ import annotations

import difflib
import ipaddress
import re
import tomllib
from collections.abc import Mapping
from typing import Any, TypeAlias

import msgspec
from msgspec import inspect

__all__ = [
    "OWN_ADDRESS",
    "OWN_IP",
    "REMOTE_ADDRESS",
    "SECRET_TEXT",
    "VISIBLE_TEXT",
    "SettingsFault",
    "address_problem",
    "check_distinct_addresses",
    "check_struct",
    "describe_type",
    "find_leaves",
    "parse_toml",
]

TomlTable: TypeAlias = Mapping[str, Any]

_CHECK = "check"
OWN_ADDRESS = {_CHECK: "own address"}
"""Marks a setting as an address that this process listens on."""

OWN_IP = {_CHECK: "own IP"}
"""Marks a setting as an IP number of this machine."""

REMOTE_ADDRESS = {_CHECK: "remote address"}
"""Marks a setting as the address of another process."""

VISIBLE_TEXT = {_CHECK: "visible text"}
"""Marks a setting as ASCII text without spaces, fit for a header."""

SECRET_TEXT = {_CHECK: "secret text"}
"""Marks visible text that is never shown, also not in a fault."""

_TEXT_CHECKS = (VISIBLE_TEXT[_CHECK], SECRET_TEXT[_CHECK])
_ADDRESS_CHECKS = (OWN_ADDRESS[_CHECK], REMOTE_ADDRESS[_CHECK])
_IP_EXAMPLE = 'write an IP number, such as "10.0.0.7"'
_ADDRESS_EXAMPLE = 'write IP:PORT, such as "10.0.0.7:7000"'
_ADDRESS_PATTERN = re.compile(r"(?P<ip>[0-9.]+):(?P<port>[0-9]{1,5})")
_MAXIMUM_PORT = 65_535
_MAXIMUM_SHOWN_LENGTH = 60


class SettingsFault(msgspec.Struct, frozen=True):
    """One fault of a settings file.

    Attributes
    ----------
    key : str
        The dotted key; empty for the file as a whole.
    problem : str
        What is wrong, with the value.
    cure : str
        What to write in its place.
    """

    key: str
    problem: str
    cure: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        subject = self.key or "the file"
        return f"{subject} {self.problem}: {self.cure}"


class Leaf(msgspec.Struct, frozen=True):
    """One setting that holds a value, with its dotted key."""

    key: str
    field: inspect.Field


def parse_toml(text: str) -> TomlTable | SettingsFault:
    """Return the table that a TOML text holds, or what is wrong with the text."""
    try:
        return tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return SettingsFault("", f"is not TOML ({error})", "mend the line named")


def find_leaves(struct_type: type[msgspec.Struct], prefix: str = "") -> list[Leaf]:
    """Return every setting of a struct and the structs in it, in order."""
    leaves = []
    for field in _fields(struct_type):
        key = prefix + field.encode_name
        if isinstance(field.type, inspect.StructType):
            leaves += find_leaves(field.type.cls, f"{key}.")
        else:
            leaves.append(Leaf(key, field))
    return leaves


def check_struct(
    values: TomlTable, struct_type: type[msgspec.Struct], prefix: str = ""
) -> list[SettingsFault]:
    """Return every fault of the values of a struct.

    Parameters
    ----------
    values : mapping
        What the file says.
    struct_type : type
        The struct that the values must fit.
    prefix : str, optional
        The dotted key of the struct, with a closing dot.
    """
    fields = {field.encode_name: field for field in _fields(struct_type)}
    faults = [_unknown(prefix, key, fields) for key in values if key not in fields]
    for key, field in fields.items():
        if key in values:
            faults += _check_field(values[key], field, prefix + key)
        elif field.required:
            faults += _missing(field, prefix + key)
    return faults


def check_distinct_addresses(
    values: TomlTable, struct_type: type[msgspec.Struct]
) -> list[SettingsFault]:
    """Return a fault for each address that an earlier setting uses already.

    Two listeners cannot share an address, and the platform cannot be at one
    of ours.
    """
    faults = []
    first_key: dict[str, str] = {}
    for leaf in find_leaves(struct_type):
        address = _value_at(values, leaf.key)
        is_address = _check_name(leaf.field.type) in _ADDRESS_CHECKS
        if not is_address or not isinstance(address, str):
            continue
        if address_problem(address) is not None:
            continue
        if address in first_key:
            problem = f"is {_shown(address)}, as is {first_key[address]}"
            faults.append(
                SettingsFault(leaf.key, problem, "give each its own address and port")
            )
        first_key.setdefault(address, leaf.key)
    return faults


def describe_type(described: inspect.Type) -> str:
    """Return what a setting takes, as a phrase."""
    match described:
        case inspect.Metadata():
            return _described_metadata(described)
        case inspect.IntType():
            return f"a whole number{_described_range(described)}"
        case inspect.FloatType():
            return f"a number{_described_range(described)}"
        case inspect.BoolType():
            return "true or false"
        case inspect.StrType():
            return f"a text{_described_length(described)}"
        case inspect.LiteralType():
            return " or ".join(f'"{value}"' for value in described.values)
        case inspect.VarTupleType() | inspect.ListType():
            return f"a list, each entry {describe_type(described.item_type)}"
    return "a value of another type"


def _fields(struct_type: type[msgspec.Struct]) -> tuple[inspect.Field, ...]:
    described = inspect.type_info(struct_type)
    assert isinstance(described, inspect.StructType)
    return described.fields


def _check_field(value: Any, field: inspect.Field, key: str) -> list[SettingsFault]:
    if not isinstance(field.type, inspect.StructType):
        return _check_value(value, field.type, key)
    if not isinstance(value, Mapping):
        return [SettingsFault(key, f"is {_shown(value)}", f"write a table [{key}]")]
    return check_struct(value, field.type.cls, f"{key}.")


def _check_value(value: Any, described: inspect.Type, key: str) -> list[SettingsFault]:
    plain = _plain(described)
    if isinstance(plain, inspect.VarTupleType) and isinstance(value, list):
        faults = []
        for number, item in enumerate(value):
            faults += _check_value(item, plain.item_type, f"{key}[{number}]")
        return faults
    check = _check_name(described)
    shown = "is not fit" if check == SECRET_TEXT[_CHECK] else f"is {_shown(value)}"
    if not _fits(value, plain):
        return [SettingsFault(key, shown, f"write {describe_type(described)}")]
    if check == OWN_IP[_CHECK]:
        return _check_ip(value, key)
    if check in _TEXT_CHECKS:
        return _check_text(value, key, shown)
    return [] if check is None else _check_address(value, check, key)


def _check_text(value: str, key: str, shown: str) -> list[SettingsFault]:
    if value.isascii() and value.isprintable() and " " not in value:
        return []
    return [SettingsFault(key, shown, "use ASCII letters, digits and signs only")]


def _check_ip(value: str, key: str) -> list[SettingsFault]:
    if _is_ip(value):
        return []
    return [SettingsFault(key, f"is {_shown(value)}", _IP_EXAMPLE)]


def _check_address(value: str, check: str, key: str) -> list[SettingsFault]:
    problem = address_problem(value)
    if problem is None and check == OWN_ADDRESS[_CHECK]:
        problem = _unspecified_problem(value)
    if problem is None:
        return []
    return [SettingsFault(key, f"is {_shown(value)}, {problem}", _ADDRESS_EXAMPLE)]


def _fits(value: Any, plain: inspect.Type) -> bool:
    match plain:
        case inspect.BoolType():
            return isinstance(value, bool)
        case inspect.IntType() | inspect.FloatType():
            return _is_number(value, plain) and _in_range(value, plain)
        case inspect.StrType():
            return isinstance(value, str) and _has_length(value, plain)
        case inspect.LiteralType():
            return value in plain.values
    return False


def _is_number(value: Any, plain: inspect.IntType | inspect.FloatType) -> bool:
    if isinstance(value, bool):
        return False
    if isinstance(plain, inspect.IntType):
        return isinstance(value, int)
    # TOML has nan and inf; nan would pass no comparison and inf end no wait.
    return isinstance(value, int | float) and abs(value) < float("inf")


def _in_range(value: float, plain: inspect.IntType | inspect.FloatType) -> bool:
    return (
        (plain.ge is None or value >= plain.ge)
        and (plain.gt is None or value > plain.gt)
        and (plain.le is None or value <= plain.le)
        and (plain.lt is None or value < plain.lt)
    )


def _has_length(value: str, plain: inspect.StrType) -> bool:
    minimum = plain.min_length or 0
    maximum = len(value) if plain.max_length is None else plain.max_length
    return minimum <= len(value) <= maximum


def _unknown(
    prefix: str, key: str, fields: Mapping[str, inspect.Field]
) -> SettingsFault:
    known = difflib.get_close_matches(key, fields, n=1)
    cure = f"did you mean {known[0]}?" if known else f"known are {', '.join(fields)}"
    return SettingsFault(prefix + key, "is unknown", cure)


def _missing(field: inspect.Field, key: str) -> list[SettingsFault]:
    if isinstance(field.type, inspect.StructType):
        return check_struct({}, field.type.cls, f"{key}.")
    return [SettingsFault(key, "is missing", f"write {describe_type(field.type)}")]


def _plain(described: inspect.Type) -> inspect.Type:
    if isinstance(described, inspect.Metadata):
        return _plain(described.type)
    if isinstance(described, inspect.UnionType):
        # TOML has no null: a setting that may be None is left out instead.
        return next(t for t in described.types if not isinstance(t, inspect.NoneType))
    return described


def _check_name(described: inspect.Type) -> str | None:
    if not isinstance(described, inspect.Metadata):
        return None
    return (described.extra or {}).get(_CHECK)


def _value_at(values: TomlTable, key: str) -> object:
    found: object = values
    for part in key.split("."):
        found = found.get(part) if isinstance(found, Mapping) else None
    return found


def address_problem(address: str) -> str | None:
    """Return what keeps a text from being an address; None if nothing does."""
    matched = _ADDRESS_PATTERN.fullmatch(address)
    if matched is None or not _is_ip(matched["ip"]):
        return "not an IP number and a port"
    if not 1 <= int(matched["port"]) <= _MAXIMUM_PORT:
        return f"whose port is not from 1 to {_MAXIMUM_PORT}"
    return None


def _is_ip(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ipaddress.AddressValueError:
        return False
    return True


def _unspecified_problem(address: str) -> str | None:
    # Operators and other instances are told this address; one that stands for
    # all interfaces would send each of them to itself.
    if ipaddress.IPv4Address(address.rpartition(":")[0]).is_unspecified:
        return "which nobody else can reach"
    return None


def _shown(value: object) -> str:
    text = repr(value) if not isinstance(value, str) else f'"{value}"'
    if len(text) <= _MAXIMUM_SHOWN_LENGTH:
        return text
    return text[:_MAXIMUM_SHOWN_LENGTH] + "..."


def _described_metadata(described: inspect.Metadata) -> str:
    if _check_name(described) in _ADDRESS_CHECKS:
        return "an address IP:PORT"
    if _check_name(described) == OWN_IP[_CHECK]:
        return "an IP number"
    return describe_type(_plain(described))


def _described_range(plain: inspect.IntType | inspect.FloatType) -> str:
    low = plain.ge if plain.ge is not None else plain.gt
    high = plain.le if plain.le is not None else plain.lt
    if low is None and high is None:
        return ""
    if high is None:
        return f", {'at least' if plain.ge is not None else 'above'} {low}"
    if low is None:
        return f", {'at most' if plain.le is not None else 'below'} {high}"
    return f" from {low} to {high}" if plain.gt is None else f" above {low} to {high}"


def _described_length(plain: inspect.StrType) -> str:
    if plain.max_length is None:
        return "" if plain.min_length is None else f" of {plain.min_length} or more"
    return f" of {plain.min_length or 0} to {plain.max_length} characters"
