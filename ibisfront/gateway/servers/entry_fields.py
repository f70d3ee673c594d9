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

ReadableText = Annotated[
    str, msgspec.Meta(pattern=f"^[^{REPLACEMENT_CHARACTER}]*$", max_length=256)
]
NonEmptyText = Annotated[ReadableText, msgspec.Meta(min_length=1)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
RemainingMs = Annotated[float, msgspec.Meta(ge=0.0, le=_MAX_WARM_UP_MS)]
SocketAddress = Annotated[
    str, msgspec.Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[1-9][0-9]{0,4}$")
]
