"""Tests of crowds of callers at the project's own interface."""

from __future__ import annotations

import os
import unittest

import msgspec
import trio

from ibisfront.testing.deployment import Deployment, register_shape
from ibisfront.tests import trio_test_real_clock
from ibisfront.tests.crowd import Crowd, raise_own_descriptors, resident_bytes

MEMORY_BYTES = 120_000_000
LIMITS = f"[memory]\nprocess_bytes = {MEMORY_BYTES}\n"
BODY_BYTES = 65_536
CALLERS = 2_400
SETTLE_TIMEOUT_S = 30.0
PATH = "/v1/branches/vestry/purposes/name-check/query"


def unfinished_body(*, chunk_bytes=None):
    """Return pieces of a body of the largest size that lack the last byte."""
    head = f"POST {PATH} HTTP/1.1\r\nHost: a\r\n".encode()
    if chunk_bytes is None:
        body = b"x" * (BODY_BYTES - 1)
        return [head + b"Content-Length: %d\r\n\r\n" % BODY_BYTES, body]
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    body = chunk * (BODY_BYTES // chunk_bytes - 1)
    return [head + b"Transfer-Encoding: chunked\r\n\r\n", body]


class OwnInterfaceCrowdTest(unittest.TestCase):
    """Bodies that stop just short of their end."""

    async def _check(self, pieces):
        raise_own_descriptors()
        shape = register_shape(instances=1)
        shape = msgspec.structs.replace(shape, settings_text=LIMITS)
        held_bytes = 0
        async with Deployment(shape) as deployment, trio.open_nursery() as nursery:
            (instance,) = deployment.instances
            process = instance.process
            crowd = Crowd(instance.caller_address, lambda number: pieces, CALLERS)
            nursery.start_soon(crowd.run)
            with trio.move_on_after(SETTLE_TIMEOUT_S):
                while not crowd.has_settled:
                    held_bytes = max(held_bytes, resident_bytes(process.pid))
                    await trio.sleep(0.05)
            reply = await deployment.search(
                instance, "vestry", "name-check", {"name": "Ann"}
            )
            exit_code = process.exit_code
            descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
            nursery.cancel_scope.cancel()
        seen = f"held {held_bytes / 1e6:.0f} MB, {descriptors} descriptors"
        self.assertIsNone(exit_code, f"the process has ended: {seen}")
        self.assertEqual(reply.status, 200, f"an ordinary request: {seen}")
        self.assertLessEqual(held_bytes, MEMORY_BYTES, seen)

    @trio_test_real_clock
    async def test_bodies_with_a_length_stay_within_the_memory(self):
        """Guards against the sum of bodies, each of legal size."""
        await self._check(unfinished_body())

    @trio_test_real_clock
    async def test_bodies_in_small_chunks_stay_within_the_memory(self):
        """Guards against chunks of a few bytes that take many times their size."""
        await self._check(unfinished_body(chunk_bytes=64))
