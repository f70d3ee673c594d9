"""Rendezvous hashing, which assigns keys to instances without coordination."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

__all__ = ["rendezvous_order"]


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in order of preference for a key.

    When a name is added or removed, only the keys that prefer it are reassigned.

    Parameters
    ----------
    key : str
        The key to assign.
    names : iterable of str
        The candidates; the result does not depend on their order.

    Examples
    --------
    >>> rendezvous_order("register", ["i1", "i2"]) == rendezvous_order(
    ...     "register", ["i2", "i1"]
    ... )
    True
    """
    return sorted(names, key=lambda name: (_rank(key, name), name), reverse=True)


def _rank(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
