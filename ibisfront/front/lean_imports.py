"""Imports of the front daemon without what it does not need."""

from __future__ import annotations

import sys
from types import ModuleType

__all__ = ["import_trio", "stub_out_tls"]

_PTHREAD = "libpthread.so.0"


def stub_out_tls() -> None:
    """Prevent OpenSSL from being loaded; call this before anything imports trio.

    The daemon speaks plain HTTP. trio imports ``ssl`` for its TLS streams and
    ``hmac`` for DTLS, and both load OpenSSL, which takes 4.7 MB of a resident set
    of 29.1 MB and a twentieth of the start's processor time. ``hashlib`` falls back
    to its built-in algorithms. ``ssl`` is replaced by an empty module, whose use
    raises ``AttributeError``.
    """
    sys.modules.setdefault("ssl", ModuleType("ssl"))
    sys.modules.setdefault("_hashlib", None)  # type: ignore[arg-type]


def import_trio() -> None:
    """Import trio without the child process that looks for a library.

    To name its threads, trio has ``ldconfig`` find the library of threads. The process
    listens already: if it is killed before that child runs ``ldconfig``, the child
    holds the listening socket, and the next start fails as the address is in use.
    Without a library of this name, trio's threads have no names.
    """
    import ctypes.util

    find_library = ctypes.util.find_library
    ctypes.util.find_library = _find_pthread
    try:
        import trio  # noqa: F401
    finally:
        ctypes.util.find_library = find_library


def _find_pthread(name: str) -> str | None:
    return _PTHREAD if name == "pthread" else None
