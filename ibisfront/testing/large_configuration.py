"""Configurations with many routes, as operators write them."""

from __future__ import annotations

import json
import string
from random import Random
from typing import Any

__all__ = ["configuration_spec"]

_GATHERED_ROUTES = 2
_GATHERED_SERVICES = 90
_NAME_LENGTH = 8


def configuration_spec(version: int, routes: int) -> bytes:
    """Return a configuration with two gathered routes and some more.

    The same number of routes gives the same ones, and a larger number those
    and more. Names are random, so that they compress as little as real ones.

    Parameters
    ----------
    version : int
        Its version.
    routes : int
        How many routes there are beside the gathered ones.

    Returns
    -------
    bytes
        The document as it stands in the platform's store.
    """
    services = [f"s{number:02}" for number in range(_GATHERED_SERVICES)]
    document = {
        "version": version,
        "routes": _gathered_routes(services) + _plain_routes(routes),
        "services": [{"name": name, "maxConns": 56} for name in services],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    return json.dumps(document, separators=(",", ":")).encode()


def _gathered_routes(services: list[str]) -> list[dict[str, Any]]:
    gathered = {"gather": services, "topK": 20, "minCoverage": 0.95}
    return [
        _route(f"g{number}", f"/g{number}/", **gathered)
        for number in range(_GATHERED_ROUTES)
    ]


def _plain_routes(count: int) -> list[dict[str, Any]]:
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
