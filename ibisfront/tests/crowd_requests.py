"""Tests of crowds of callers, each with a legal request that it does not end."""

from __future__ import annotations

from ibisfront.tests import trio_test_real_clock
from ibisfront.tests.crowd import (
    MAXIMUM_BODY_BYTES,
    MAXIMUM_HEADER_BYTES,
    CrowdTest,
    head_of,
)

PIECE = 2_048


def head_of_lines(line):
    """Return pieces of a head as large as is legal, without its end."""
    start = head_of("GET", "/prompt/crowd")
    room = MAXIMUM_HEADER_BYTES - 200 - len(start)
    head = bytearray(start)
    number = 0
    while len(head) - len(start) < room:
        head += line(number)
        number += 1
    return [bytes(head)]


def body_of_length(*, piece=MAXIMUM_BODY_BYTES, path="/prompt/crowd", missing=1):
    """Return pieces of a body with a length that lacks its last bytes."""
    head = head_of("POST", path, b"Content-Length: %d\r\n\r\n" % MAXIMUM_BODY_BYTES)
    body = b"x" * (MAXIMUM_BODY_BYTES - missing)
    return [head, *(body[at : at + piece] for at in range(0, len(body), piece))]


def body_in_chunks(size):
    """Return pieces of a body in chunks that lacks its last one."""
    head = head_of("POST", "/prompt/crowd", b"Transfer-Encoding: chunked\r\n\r\n")
    chunk = b"%x\r\n" % size + b"x" * size + b"\r\n"
    count = MAXIMUM_BODY_BYTES // size
    return [head, chunk * (count - 1), chunk[:-3]]


def most_of(unfinished, whole):
    """Return pieces by the number of a caller; each tenth ends its request."""
    return lambda number: whole if number % 10 == 9 else unfinished


class HeadCrowdTest(CrowdTest):
    """Heads that stop just short of their end."""

    @trio_test_real_clock
    async def test_heads_of_many_short_lines_stay_within_the_memory(self):
        """Guards against header lines that take many times their bytes."""
        head = head_of_lines(lambda number: b"a:b\r\n")
        pieces = most_of(head, [*head, b"\r\n"])
        await self.check_crowd(pieces, callers=800)

    @trio_test_real_clock
    async def test_heads_of_odd_names_stay_within_the_memory(self):
        """Guards against header lines of which each has another name."""
        head = head_of_lines(lambda number: b"!~%x:\t%x\r\n" % (number, number))
        pieces = most_of(head, [*head, b"\r\n"])
        await self.check_crowd(pieces, callers=800)


class BodyCrowdTest(CrowdTest):
    """Bodies with a length that stop just short of their end."""

    @trio_test_real_clock
    async def test_bodies_sent_at_once_stay_within_the_memory(self):
        """Guards against the sum of bodies, each of legal size."""
        pieces = most_of(body_of_length(), body_of_length(missing=0))
        await self.check_crowd(pieces, callers=600)

    @trio_test_real_clock
    async def test_bodies_in_small_pieces_stay_within_the_memory(self):
        """Guards against the sum of bodies that arrive piece by piece."""
        pieces = most_of(
            body_of_length(piece=PIECE), body_of_length(piece=PIECE, missing=0)
        )
        await self.check_crowd(pieces, callers=600)

    @trio_test_real_clock
    async def test_whole_bodies_at_a_slow_server_stay_within_the_memory(self):
        """Guards against several copies of each body while it waits for an answer."""
        body = body_of_length(path="/held/crowd", missing=0)
        await self.check_crowd(lambda number: body, callers=400)


class ChunkCrowdTest(CrowdTest):
    """Bodies in chunks that stop just short of their end."""

    @trio_test_real_clock
    async def test_large_chunks_stay_within_the_memory(self):
        """Guards against the sum of bodies without a stated length."""
        body = body_in_chunks(32_768)
        pieces = most_of(body, [*body, b"x\r\n0\r\n\r\n"])
        await self.check_crowd(pieces, callers=600)

    @trio_test_real_clock
    async def test_very_small_chunks_stay_within_the_memory(self):
        """Guards against chunks of a few bytes that take many times their size."""
        body = body_in_chunks(16)
        pieces = most_of(body, [*body, b"x\r\n0\r\n\r\n"])
        await self.check_crowd(pieces, callers=600)


class PipelineCrowdTest(CrowdTest):
    """Requests that are sent ahead on a connection."""

    @trio_test_real_clock
    async def test_requests_sent_ahead_stay_within_the_memory(self):
        """Guards against a queue that is bounded only after a whole read."""
        ahead = (head_of("GET", "/held/crowd") + b"\r\n") * 2_000
        await self.check_crowd(lambda number: [ahead], callers=300)


class AnswerCrowdTest(CrowdTest):
    """Answers that nobody reads."""

    @trio_test_real_clock
    async def test_answers_that_nobody_reads_stay_within_the_memory(self):
        """Guards against answers that wait for callers which do not read."""
        request = head_of("GET", "/large/crowd") + b"\r\n"
        await self.check_crowd(
            lambda number: [request], callers=60, reads=False, reply_bytes=6_000_000
        )


class ConnectionCrowdTest(CrowdTest):
    """Connections that carry nothing."""

    @trio_test_real_clock
    async def test_idle_connections_leave_descriptors_for_others(self):
        """Guards against idle callers that use up the descriptors."""
        await self.check_crowd(
            lambda number: [b""], callers=800, maximum_descriptors=600
        )


class OtherAddressCrowdTest(CrowdTest):
    """The same crowds at the addresses that are not for callers."""

    async def _check(self, role):
        head = head_of_lines(lambda number: b"a:b\r\n")
        await self.check_crowd(
            lambda number: head,
            callers=800,
            address=lambda world: world.front.address_of_role(role),
        )

    @trio_test_real_clock
    async def test_heads_at_the_readiness_address_stay_within_the_memory(self):
        """Guards against an address whose requests are not counted."""
        await self._check("ready")

    @trio_test_real_clock
    async def test_heads_at_the_control_address_stay_within_the_memory(self):
        """Guards against an address whose requests are not counted."""
        await self._check("control")

    @trio_test_real_clock
    async def test_heads_at_the_metrics_address_stay_within_the_memory(self):
        """Guards against an address whose requests are not counted."""
        await self._check("metrics")
