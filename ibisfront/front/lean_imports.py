"""Keeping out of the process what the front daemon imports and never uses."""

from __future__ import annotations

import sys
from types import ModuleType

__all__ = ["stub_out_tls"]


def stub_out_tls() -> None:
    """Keep OpenSSL from being loaded; to be called before anything imports trio.

    The daemon speaks plain HTTP. trio imports ``ssl`` for its TLS streams and
    ``hmac`` for DTLS, and both load OpenSSL: 4.7 MB of a process of 29.1 MB and a
    twentieth of its start (resident set and processor time of whole processes, 15
    paired runs). ``hashlib`` falls back to the algorithms that it has built in; an
    empty module takes the place of ``ssl``, and its use would raise
    ``AttributeError``.
    """
    sys.modules.setdefault("ssl", ModuleType("ssl"))
    sys.modules.setdefault("_hashlib", None)  # type: ignore[arg-type]
