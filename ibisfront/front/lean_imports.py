"""Stubs for modules that the front daemon imports but never uses."""

from __future__ import annotations

import sys
from types import ModuleType

__all__ = ["stub_out_tls"]


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
