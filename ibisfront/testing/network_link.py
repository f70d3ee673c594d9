"""A machine's network link, under mock time."""

from __future__ import annotations

import trio

__all__ = ["NetworkLink", "transfer"]

_CHUNK_BYTES = 16_384
"""Chunk of a transfer; other transfers interleave between chunks."""


class NetworkLink:
    """Transmits bytes at a fixed rate, in order of arrival.

    Parameters
    ----------
    bytes_per_s : float
        The link's bandwidth.

    Attributes
    ----------
    transmitted_bytes : int
        Number of bytes transmitted.
    """

    __slots__ = ("_bytes_per_s", "_free_at_s", "transmitted_bytes")

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at_s = 0.0
        self.transmitted_bytes = 0

    async def transmit(self, size: int) -> None:
        """Transmit bytes after those already queued."""
        starts_at_s = max(trio.current_time(), self._free_at_s)
        self._free_at_s = starts_at_s + size / self._bytes_per_s
        self.transmitted_bytes += size
        await trio.sleep_until(self._free_at_s)


async def transfer(size: int, *links: NetworkLink) -> None:
    """Transmit a message in chunks, each over all links in sequence."""
    remaining = size
    while remaining > 0:
        chunk = min(remaining, _CHUNK_BYTES)
        for link in links:
            await link.transmit(chunk)
        remaining -= chunk
