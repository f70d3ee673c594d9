"""A machine's link to the network, in mock time."""

from __future__ import annotations

import trio

__all__ = ["NetworkLink", "transfer"]

_CHUNK_BYTES = 16_384
"""What a transfer hands to a link at once; others take their turn between."""


class NetworkLink:
    """Carries bytes at a fixed rate, in the order in which they come.

    Parameters
    ----------
    bytes_per_s : float
        What it carries.

    Attributes
    ----------
    carried_bytes : int
        What it has carried.
    """

    __slots__ = ("_bytes_per_s", "_free_at_s", "carried_bytes")

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at_s = 0.0
        self.carried_bytes = 0

    async def carry(self, size: int) -> None:
        """Carry some bytes, after those that came before."""
        begins_at_s = max(trio.current_time(), self._free_at_s)
        self._free_at_s = begins_at_s + size / self._bytes_per_s
        self.carried_bytes += size
        await trio.sleep_until(self._free_at_s)


async def transfer(size: int, *links: NetworkLink) -> None:
    """Carry a message over links, one after the other, in chunks."""
    left = size
    while left > 0:
        chunk = min(left, _CHUNK_BYTES)
        for link in links:
            await link.carry(chunk)
        left -= chunk
