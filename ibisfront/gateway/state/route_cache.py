"""Cache of decoded routes and workspaces, by their encoded text."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ibisfront.gateway.state.configuration import Route, Workspace

__all__ = ["RouteCache"]


class RouteCache:
    """Reuses the decoded routes and workspaces of the previous configuration version.

    Those whose text is unchanged are shared by both versions, since queries wait
    while thousands of routes are decoded.
    """

    __slots__ = ("_by_text", "_workspaces")

    def __init__(self) -> None:
        self._by_text: dict[bytes, Route] = {}
        self._workspaces: dict[bytes, Workspace] = {}

    def routes(
        self, texts: Iterable[bytes], decode: Callable[[bytes], Route]
    ) -> tuple[Route, ...]:
        """Return the routes with these texts, decoding only new ones.

        Errors of the decoder propagate and leave the cache unchanged.
        """
        routes: dict[bytes, Route] = {}
        for text in texts:
            routes[text] = self._by_text.get(text) or decode(text)
        self._by_text = routes
        return tuple(routes.values())

    def workspaces(
        self, texts: Iterable[bytes], decode: Callable[[bytes], Workspace]
    ) -> tuple[Workspace, ...]:
        """Return the workspaces with these texts, decoding only new ones.

        Their texts contain keys, so only digests of them are kept. Errors of the
        decoder propagate and leave the cache unchanged.
        """
        known: dict[bytes, Workspace] = {}
        workspaces: list[Workspace] = []
        for text in texts:
            digest = hashlib.blake2b(text, digest_size=16).digest()
            workspace = self._workspaces.get(digest) or decode(text)
            known[digest] = workspace
            workspaces.append(workspace)
        self._workspaces = known
        return tuple(workspaces)
