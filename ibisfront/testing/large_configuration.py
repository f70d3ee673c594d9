"""Configurations with many routes, in the operators' format."""

from __future__ import annotations

import json
import string
from random import Random
from typing import Any

__all__ = ["configuration_spec"]

_SCATTER_GATHER_ROUTES = 2
_SCATTER_GATHER_SERVICES = 90
_NAME_LENGTH = 8


def configuration_spec(version: int, routes: int) -> bytes:
    """Return a configuration with two scatter-gather routes and others.

    The result is deterministic, and a larger number of routes extends the list
    of a smaller one. Names are random so that they compress as poorly as real
    ones.

    Parameters
    ----------
    version : int
        The configuration's version.
    routes : int
        Number of routes besides the scatter-gather ones.

    Returns
    -------
    bytes
        The document as stored on the platform.
    """
    services = [f"s{number:02}" for number in range(_SCATTER_GATHER_SERVICES)]
    document = {
        "version": version,
        "routes": _scatter_gather_routes(services) + _single_service_routes(routes),
        "services": [{"name": name, "maxConns": 56} for name in services],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    return json.dumps(document, separators=(",", ":")).encode()


def _scatter_gather_routes(services: list[str]) -> list[dict[str, Any]]:
    target = {"gather": services, "topK": 20, "minCoverage": 0.95}
    return [
        _route(f"g{number}", f"/g{number}/", **target)
        for number in range(_SCATTER_GATHER_ROUTES)
    ]


def _single_service_routes(count: int) -> list[dict[str, Any]]:
    random = Random(1)
    return [
        _route(f"r-{_name(random)}", f"/{_name(random)}/", service="archive")
        for _ in range(count)
    ]


def _route(name: str, path_prefix: str, **target: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": "search.example",
        "pathPrefix": path_prefix,
        "kind": "idempotent",
        "timeoutMs": 2000,
        "sloMs": 250,
        "attempts": 2,
        **target,
    }


def _name(random: Random) -> str:
    letters = random.choices(string.ascii_lowercase + string.digits, k=_NAME_LENGTH)
    return "".join(letters)
