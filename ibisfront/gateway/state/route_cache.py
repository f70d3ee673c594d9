"""Routes that were decoded before, by their text."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ibisfront.gateway.state.configuration import Route

__all__ = ["RouteCache"]


class RouteCache:
    """Keeps the routes of the last version that was read.

    Routes that are written as in the version before are taken from there, and both
    versions share them: queries wait while thousands are read anew
    (``benchmarks.configuration_cost``).
    """

    __slots__ = ("_by_text",)

    def __init__(self) -> None:
        self._by_text: dict[bytes, Route] = {}

    def routes(
        self, texts: Iterable[bytes], decode: Callable[[bytes], Route]
    ) -> tuple[Route, ...]:
        """Return the routes with these texts, decoding those that are new.

        What the decoder raises is passed on, and the last version stays.
        """
        routes: dict[bytes, Route] = {}
        for text in texts:
            routes[text] = self._by_text.get(text) or decode(text)
        self._by_text = routes
        return tuple(routes.values())
