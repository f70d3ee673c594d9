"""The keys that callers send, and their digests."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisfront.gateway.messages import Header
    from ibisfront.gateway.wire import WireCodec

__all__ = ["EMPTY_KEY_DIGEST", "digest_key", "loggable_digest", "split_credentials"]

_DIGEST_BYTES = 16

_LOGGED_CHARACTERS = 8
"""Enough to tell the few unknown keys of one incident apart."""


def digest_key(key: bytes) -> str:
    """Return the digest under which a key is looked up."""
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).hexdigest()


def loggable_digest(digest: str) -> str:
    """Return the short form of a key's digest for log lines."""
    return digest[:_LOGGED_CHARACTERS]


def split_credentials(
    headers: Iterable[Header], wire: WireCodec
) -> tuple[list[Header], list[bytes]]:
    """Return a request's headers that may be forwarded, and its keys.

    The workspace that a caller itself states is dropped.
    """
    keys: list[bytes] = []
    others: list[Header] = []
    for header in headers:
        name = header[0].lower()
        if name == wire.key_header:
            keys.append(header[1])
        elif name != wire.workspace_header:
            others.append(header)
    return others, keys


EMPTY_KEY_DIGEST = digest_key(b"")
"""Digest of a header without a key."""
