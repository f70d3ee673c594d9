"""Test doubles and helpers for tests; a public interface.

The modules that run as programs (``python -m ibisfront.testing.platform`` and
similar) are not imported here: Python would execute them a second time.
"""

from __future__ import annotations

from ibisfront.testing.backend_state import FakeBackend
from ibisfront.testing.backend_types import BackendFaults, BackendSettings
from ibisfront.testing.http_client import HttpClient, HttpReply
from ibisfront.testing.platform_state import FakePlatform
from ibisfront.testing.platform_types import PlatformFaults
from ibisfront.testing.processes import RunningProcess, free_address

__all__ = [
    "BackendFaults",
    "BackendSettings",
    "FakeBackend",
    "FakePlatform",
    "HttpClient",
    "HttpReply",
    "PlatformFaults",
    "RunningProcess",
    "free_address",
]
