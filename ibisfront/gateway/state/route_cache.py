"""Cache of decoded routes, by their encoded text."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ibisfront.gateway.state.configuration import Route

__all__ = ["RouteCache"]


class RouteCache:
    """Reuses the decoded routes of the previous configuration version.

    Routes whose text is unchanged are shared by both versions, since queries wait
    while thousands of routes are decoded.
    """

    __slots__ = ("_by_text",)

    def __init__(self) -> None:
        self._by_text: dict[bytes, Route] = {}

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
