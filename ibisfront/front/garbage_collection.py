"""Collecting reference cycles beside the requests.

Load pattern: a query over a hundred services makes some thousand objects at once, which
live until its answer. The interpreter's own collections come every few hundred objects,
in the middle of queries, and find nothing; what a query leaves is found as well a
moment later, when few objects live.
"""

from __future__ import annotations

import gc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock

__all__ = ["collect_garbage"]

_COLLECTION_INTERVAL_MS = 500.0
"""Pause between two collections of young objects: at twenty queries a second their
cycles take a megabyte or two meanwhile."""

_MIN_NEW_OBJECTS = 2_000
"""Objects that were made since, and live, for which a collection pays: most instances
of many gather nothing."""

_YOUNG_GENERATION = 1
_FULL_COLLECTION_EVERY = 20
"""Every so many collections is one of all objects."""


async def collect_garbage(clock: Clock) -> None:
    """Collect cycles at a steady pace, in place of the interpreter, until cancelled."""
    gc.disable()
    try:
        rounds = 0
        while True:
            await clock.sleep_ms(_COLLECTION_INTERVAL_MS)
            if gc.get_count()[0] < _MIN_NEW_OBJECTS:
                continue
            rounds += 1
            if rounds % _FULL_COLLECTION_EVERY:
                gc.collect(_YOUNG_GENERATION)
            else:
                gc.collect()
    finally:
        gc.enable()
