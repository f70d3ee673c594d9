"""Validation of a settings file that reports all faults at once.

``msgspec`` stops at the first fault of a document, so each value is checked
separately here; operators can then fix all faults in one pass.
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
"""Marks a setting as a listen address of this process."""

OWN_IP = {_CHECK: "own IP"}
"""Marks a setting as an IP address of this host."""

REMOTE_ADDRESS = {_CHECK: "remote address"}
"""Marks a setting as the address of another process."""

VISIBLE_TEXT = {_CHECK: "visible text"}
"""Marks a setting as printable ASCII without spaces, valid in a header."""

SECRET_TEXT = {_CHECK: "secret text"}
"""Marks visible text that must not appear in output, including faults."""

_TEXT_CHECKS = (VISIBLE_TEXT[_CHECK], SECRET_TEXT[_CHECK])
_ADDRESS_CHECKS = (OWN_ADDRESS[_CHECK], REMOTE_ADDRESS[_CHECK])
_IP_EXAMPLE = 'write an IP address, such as "10.0.0.7"'
_ADDRESS_EXAMPLE = 'write IP:PORT, such as "10.0.0.7:7000"'
_ADDRESS_PATTERN = re.compile(r"(?P<ip>[0-9.]+):(?P<port>[0-9]{1,5})")
_MAXIMUM_PORT = 65_535
_MAXIMUM_SHOWN_LENGTH = 60


class SettingsFault(msgspec.Struct, frozen=True):
    """A fault in a settings file.

    Attributes
    ----------
    key : str
        Dotted key of the setting; empty for the file as a whole.
    problem : str
        Description of the problem, with the value.
    cure : str
        How to fix it.
    """

    key: str
    problem: str
    cure: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        subject = self.key or "the file"
        return f"{subject} {self.problem}: {self.cure}"


class Leaf(msgspec.Struct, frozen=True):
    """A setting that is not a table, with its dotted key."""

    key: str
    field: inspect.Field


def parse_toml(text: str) -> TomlTable | SettingsFault:
    """Parse a TOML text; return a fault if it is not valid TOML."""
    try:
        return tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return SettingsFault(
            "", f"is not valid TOML ({error})", "fix the indicated line"
        )


def find_leaves(struct_type: type[msgspec.Struct], prefix: str = "") -> list[Leaf]:
    """Return all settings of a struct and its nested structs, in order."""
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
    """Validate the values of a struct and return all faults.

    Parameters
    ----------
    values : mapping
        Values from the file.
    struct_type : type
        The struct that defines the settings.
    prefix : str, optional
        Dotted key of the struct, with a trailing dot.
    """
    fields = {field.encode_name: field for field in _fields(struct_type)}
    faults = [
        _unknown_setting(prefix, key, fields) for key in values if key not in fields
    ]
    for key, field in fields.items():
        if key in values:
            faults += _check_field(values[key], field, prefix + key)
        elif field.required:
            faults += _missing_setting(field, prefix + key)
    return faults


def check_distinct_addresses(
    values: TomlTable, struct_type: type[msgspec.Struct]
) -> list[SettingsFault]:
    """Return a fault for each address that an earlier setting already uses.

    Two listeners cannot share an address, and the platform cannot have the
    address of a listener.
    """
    faults = []
    key_by_address: dict[str, str] = {}
    for leaf in find_leaves(struct_type):
        address = _value_at(values, leaf.key)
        is_address = _check_name(leaf.field.type) in _ADDRESS_CHECKS
        if not is_address or not isinstance(address, str):
            continue
        if address_problem(address) is not None:
            continue
        if address in key_by_address:
            problem = f"is {_format_value(address)}, as is {key_by_address[address]}"
            faults.append(
                SettingsFault(leaf.key, problem, "use a different address or port")
            )
        key_by_address.setdefault(address, leaf.key)
    return faults


def describe_type(setting_type: inspect.Type) -> str:
    """Return a phrase that describes the values a setting accepts."""
    match setting_type:
        case inspect.Metadata():
            return _describe_metadata(setting_type)
        case inspect.IntType():
            return f"an integer{_describe_range(setting_type)}"
        case inspect.FloatType():
            return f"a number{_describe_range(setting_type)}"
        case inspect.BoolType():
            return "true or false"
        case inspect.StrType():
            return f"a string{_describe_length(setting_type)}"
        case inspect.LiteralType():
            return " or ".join(f'"{value}"' for value in setting_type.values)
        case inspect.VarTupleType() | inspect.ListType():
            return f"a list, each item {describe_type(setting_type.item_type)}"
    return "a value of another type"


def _fields(struct_type: type[msgspec.Struct]) -> tuple[inspect.Field, ...]:
    setting_type = inspect.type_info(struct_type)
    assert isinstance(setting_type, inspect.StructType)
    return setting_type.fields


def _check_field(value: Any, field: inspect.Field, key: str) -> list[SettingsFault]:
    if not isinstance(field.type, inspect.StructType):
        return _check_value(value, field.type, key)
    if not isinstance(value, Mapping):
        return [
            SettingsFault(key, f"is {_format_value(value)}", f"write a table [{key}]")
        ]
    return check_struct(value, field.type.cls, f"{key}.")


def _check_value(
    value: Any, setting_type: inspect.Type, key: str
) -> list[SettingsFault]:
    base_type = _base_type(setting_type)
    if isinstance(base_type, inspect.VarTupleType) and isinstance(value, list):
        faults = []
        for number, item in enumerate(value):
            faults += _check_value(item, base_type.item_type, f"{key}[{number}]")
        return faults
    check = _check_name(setting_type)
    problem = (
        "is invalid" if check == SECRET_TEXT[_CHECK] else f"is {_format_value(value)}"
    )
    if not _is_valid(value, base_type):
        return [SettingsFault(key, problem, f"write {describe_type(setting_type)}")]
    if check == OWN_IP[_CHECK]:
        return _check_ip(value, key)
    if check in _TEXT_CHECKS:
        return _check_text(value, key, problem)
    return [] if check is None else _check_address(value, check, key)


def _check_text(value: str, key: str, problem: str) -> list[SettingsFault]:
    if value.isascii() and value.isprintable() and " " not in value:
        return []
    return [
        SettingsFault(key, problem, "use only ASCII letters, digits and punctuation")
    ]


def _check_ip(value: str, key: str) -> list[SettingsFault]:
    if _is_ip(value):
        return []
    return [SettingsFault(key, f"is {_format_value(value)}", _IP_EXAMPLE)]


def _check_address(value: str, check: str, key: str) -> list[SettingsFault]:
    problem = address_problem(value)
    if problem is None and check == OWN_ADDRESS[_CHECK]:
        problem = _unspecified_problem(value)
    if problem is None:
        return []
    return [
        SettingsFault(key, f"is {_format_value(value)}, {problem}", _ADDRESS_EXAMPLE)
    ]


def _is_valid(value: Any, base_type: inspect.Type) -> bool:
    match base_type:
        case inspect.BoolType():
            return isinstance(value, bool)
        case inspect.IntType() | inspect.FloatType():
            return _is_number(value, base_type) and _in_range(value, base_type)
        case inspect.StrType():
            return isinstance(value, str) and _has_length(value, base_type)
        case inspect.LiteralType():
            return value in base_type.values
    return False


def _is_number(value: Any, base_type: inspect.IntType | inspect.FloatType) -> bool:
    if isinstance(value, bool):
        return False
    if isinstance(base_type, inspect.IntType):
        return isinstance(value, int)
    # TOML allows nan and inf: nan fails every comparison, a wait of inf never ends.
    return isinstance(value, int | float) and abs(value) < float("inf")


def _in_range(value: float, base_type: inspect.IntType | inspect.FloatType) -> bool:
    return (
        (base_type.ge is None or value >= base_type.ge)
        and (base_type.gt is None or value > base_type.gt)
        and (base_type.le is None or value <= base_type.le)
        and (base_type.lt is None or value < base_type.lt)
    )


def _has_length(value: str, base_type: inspect.StrType) -> bool:
    minimum = base_type.min_length or 0
    maximum = len(value) if base_type.max_length is None else base_type.max_length
    return minimum <= len(value) <= maximum


def _unknown_setting(
    prefix: str, key: str, fields: Mapping[str, inspect.Field]
) -> SettingsFault:
    matches = difflib.get_close_matches(key, fields, n=1)
    cure = (
        f"did you mean {matches[0]}?"
        if matches
        else f"valid keys are {', '.join(fields)}"
    )
    return SettingsFault(prefix + key, "is unknown", cure)


def _missing_setting(field: inspect.Field, key: str) -> list[SettingsFault]:
    if isinstance(field.type, inspect.StructType):
        return check_struct({}, field.type.cls, f"{key}.")
    return [SettingsFault(key, "is missing", f"write {describe_type(field.type)}")]


def _base_type(setting_type: inspect.Type) -> inspect.Type:
    if isinstance(setting_type, inspect.Metadata):
        return _base_type(setting_type.type)
    if isinstance(setting_type, inspect.UnionType):
        # TOML has no null: a setting that may be None is omitted instead.
        return next(
            t for t in setting_type.types if not isinstance(t, inspect.NoneType)
        )
    return setting_type


def _check_name(setting_type: inspect.Type) -> str | None:
    if not isinstance(setting_type, inspect.Metadata):
        return None
    return (setting_type.extra or {}).get(_CHECK)


def _value_at(values: TomlTable, key: str) -> object:
    value: object = values
    for part in key.split("."):
        value = value.get(part) if isinstance(value, Mapping) else None
    return value


def address_problem(address: str) -> str | None:
    """Return why a text is not a valid address; None if it is valid."""
    matched = _ADDRESS_PATTERN.fullmatch(address)
    if matched is None or not _is_ip(matched["ip"]):
        return "not an IP address and a port"
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
    # This address is advertised to operators and other instances, for whom
    # 0.0.0.0 would refer to their own host.
    if ipaddress.IPv4Address(address.rpartition(":")[0]).is_unspecified:
        return "which other hosts cannot reach"
    return None


def _format_value(value: object) -> str:
    text = repr(value) if not isinstance(value, str) else f'"{value}"'
    if len(text) <= _MAXIMUM_SHOWN_LENGTH:
        return text
    return text[:_MAXIMUM_SHOWN_LENGTH] + "..."


def _describe_metadata(setting_type: inspect.Metadata) -> str:
    if _check_name(setting_type) in _ADDRESS_CHECKS:
        return "an address IP:PORT"
    if _check_name(setting_type) == OWN_IP[_CHECK]:
        return "an IP address"
    return describe_type(_base_type(setting_type))


def _describe_range(base_type: inspect.IntType | inspect.FloatType) -> str:
    low = base_type.ge if base_type.ge is not None else base_type.gt
    high = base_type.le if base_type.le is not None else base_type.lt
    if low is None and high is None:
        return ""
    if high is None:
        return f", {'at least' if base_type.ge is not None else 'above'} {low}"
    if low is None:
        return f", {'at most' if base_type.le is not None else 'below'} {high}"
    return (
        f" from {low} to {high}" if base_type.gt is None else f" above {low} to {high}"
    )


def _describe_length(base_type: inspect.StrType) -> str:
    if base_type.max_length is None:
        return (
            ""
            if base_type.min_length is None
            else f" of {base_type.min_length} or more"
        )
    return f" of {base_type.min_length or 0} to {base_type.max_length} characters"
