"""Configuration documents of the soak, as an operator writes them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.testing.soak.callers import HOST

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ibisfront.testing.soak.checks import Shape

__all__ = ["configuration_document"]

_OBJECTIVE_MS = 150
_ATTEMPTS = 2
_MAXIMUM_CONNECTIONS = 40


def configuration_document(
    shape: Shape,
    *,
    version: int,
    generation: int,
    timeout_ms: int,
    workspaces: Sequence[Mapping[str, object]] = (),
) -> dict[str, object]:
    """Return one version of the configuration.

    Parameters
    ----------
    shape : Shape
        Services and limits common to all versions of a run.
    version : int
        Version number.
    generation : int
        Index of the list of services that a search queries.
    timeout_ms : int
        Request timeout of every route.
    workspaces : sequence of mapping
        The workspaces, if there are any; then one more route is public.
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
    routes = [search, fetch, order]
    added: dict[str, object] = {}
    if workspaces:
        public = _route("open", "idempotent", timeout_ms)
        routes.append({**public, "service": shape.fetch, "public": True})
        added["tenants"] = list(workspaces)
    return {
        **added,
        "version": version,
        "routes": routes,
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
