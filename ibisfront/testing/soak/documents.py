"""The configuration of the soak, as an operator writes it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.testing.soak.callers import HOST

if TYPE_CHECKING:
    from ibisfront.testing.soak.checks import Shape

__all__ = ["configuration_document"]

_OBJECTIVE_MS = 150
_ATTEMPTS = 2
_MAXIMUM_CONNECTIONS = 40


def configuration_document(
    shape: Shape, *, version: int, generation: int, timeout_ms: int
) -> dict[str, object]:
    """Return a version of the configuration.

    Parameters
    ----------
    shape : Shape
        What all versions of a run allow.
    version : int
        Its number.
    generation : int
        Which list of services a search asks.
    timeout_ms : int
        The longest time that a caller is kept waiting.
    """
    services = [
        *(name for names in shape.generations for name in names),
        shape.fetch,
        shape.order,
    ]
    search = {
        **_route("search", "idempotent", timeout_ms),
        "gather": list(shape.generations[generation]),
        "topK": shape.top_count,
        "minCoverage": shape.minimum_coverage,
    }
    fetch = {**_route("fetch", "idempotent", timeout_ms), "service": shape.fetch}
    order = {**_route("order", "non_idempotent", timeout_ms), "service": shape.order}
    return {
        "version": version,
        "routes": [search, fetch, order],
        "services": [
            {"name": name, "maxConns": _MAXIMUM_CONNECTIONS} for name in services
        ],
        "limits": {
            "maxHeaderBytes": 8192,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 2000,
            "idleTimeoutMs": 10000,
        },
    }


def _route(name: str, kind: str, timeout_ms: int) -> dict[str, object]:
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "sloMs": _OBJECTIVE_MS,
        "attempts": _ATTEMPTS,
        "priority": 1,
    }
