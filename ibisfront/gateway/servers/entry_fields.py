"""Possible values of the fields of a server's entry, from any writer."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ibisfront.core.lenient_json import REPLACEMENT_CHARACTER

__all__ = [
    "Count",
    "NonEmptyText",
    "ReadableText",
    "RemainingMs",
    "Slots",
    "SocketAddress",
]

_MAX_SLOTS = 100_000
"""Slots above which an entry is invalid: three orders of magnitude above those of
real servers."""

_MAX_WARM_UP_MS = 600_000.0
"""Remaining warm-up above which an entry is invalid; a real one takes seconds."""

_MAX_COUNT = 2**63 - 1
"""MessagePack, in which entries are relayed, has no integers of more than 64 bits."""

_OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_PORT = (
    r"(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}"
    r"|[1-9][0-9]{0,3})"
)

ReadableText = Annotated[
    str, msgspec.Meta(pattern=f"^[^{REPLACEMENT_CHARACTER}]*$", max_length=256)
]
NonEmptyText = Annotated[ReadableText, msgspec.Meta(min_length=1)]
Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
RemainingMs = Annotated[float, msgspec.Meta(ge=0.0, le=_MAX_WARM_UP_MS)]
SocketAddress = Annotated[
    str, msgspec.Meta(pattern=rf"^{_OCTET}(\.{_OCTET}){{3}}:{_PORT}\Z")
]
