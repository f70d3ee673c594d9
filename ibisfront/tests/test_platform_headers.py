"""Tests of the codec of requests and replies."""

from __future__ import annotations

import unittest

from ibisfront.http1.parser import ReplyReader, RequestReader
from ibisfront.platform.headers import WIRE


def request_of(*lines, body=b""):
    """Return the typed request of some header lines."""
    head = b"\r\n".join([b"POST /a/b?c=1 HTTP/1.1", *lines])
    if body:
        head += b"\r\nContent-Length: %d" % len(body)
    reader = RequestReader(10_000, 10_000)
    reader.feed(head + b"\r\n\r\n" + body)
    return WIRE.decode_request(reader.messages.pop(), 0.0, 0.0)


def reply_of(status, *lines):
    """Return the typed reply of a status and some header lines."""
    head = b"\r\n".join([b"HTTP/1.1 %d X" % status, *lines])
    reader = ReplyReader(10_000)
    reader.feed(head + b"\r\nContent-Length: 0\r\n\r\n")
    return WIRE.decode_reply(reader.messages.pop())


class RequestTest(unittest.TestCase):
    """Decoding and forwarding of requests."""

    def test_request_is_forwarded_without_connection_headers(self):
        request = request_of(
            b"Host: Search.Example:80",
            b"X-Request-Id: r1",
            b"X-Deadline-Ms: 900",
            b"X-Expect-Instance: forged",
            b"Connection: close, X-Mine",
            b"X-Mine: 1",
            b"X-Kept: 2",
            body=b"abc",
        )
        self.assertEqual((request.host, request.deadline_ms), ("search.example", 900.0))
        sent = WIRE.encode_request(request)("i-1", 450.7)
        self.assertTrue(sent.startswith(b"POST /a/b?c=1 HTTP/1.1\r\n"))
        self.assertTrue(sent.endswith(b"\r\n\r\nabc"))
        for line in (b"X-Kept: 2", b"X-Request-Id: r1", b"X-Deadline-Ms: 450"):
            self.assertIn(line + b"\r\n", sent)
        self.assertEqual(sent.count(b"X-Expect-Instance"), 1)
        self.assertNotIn(b"forged", sent)
        self.assertNotIn(b"X-Mine", sent)

    def test_invalid_deadline_is_ignored(self):
        """Guards against a request that hangs because its deadline is NaN.

        Every comparison with NaN is false, so that neither the deadline nor the
        time to abandon the request would ever pass.
        """
        for value in (b"nan", b"inf", b"-5", b"soon", b""):
            with self.subTest(value=value):
                request = request_of(b"Host: s", b"X-Deadline-Ms: " + value)
                self.assertIsNone(request.deadline_ms)


class ReplyTest(unittest.TestCase):
    """Decoding of servers' replies."""

    def test_rejected_requests_were_not_executed(self):
        shed = reply_of(503, b"X-Not-Executed: 1", b"Retry-After: 0.25")
        self.assertTrue(shed.not_run and not shed.is_other_server)
        self.assertEqual(shed.retry_after_ms, 250.0)
        other = reply_of(421, b"X-Instance-Id: i-2")
        self.assertTrue(other.not_run and other.is_other_server)
        self.assertFalse(reply_of(503).not_run)

    def test_encoded_body_is_not_a_success(self):
        plain = reply_of(200, b"X-Backend-Stamp: s")
        encoded = reply_of(200, b"X-Backend-Stamp: s", b"Content-Encoding: gzip")
        self.assertTrue(plain.is_success)
        self.assertFalse(encoded.is_success)

    def test_idle_timeout_is_parsed(self):
        reply = reply_of(200, b"Keep-Alive: max=5, timeout=7")
        self.assertEqual(reply.idle_timeout_ms, 7000.0)


class LoadTest(unittest.TestCase):
    """Load reported by backend servers."""

    def test_load_is_parsed_with_and_without_a_work_factor(self):
        """Guards against confusing the reported values."""
        load = reply_of(200, b"X-Backend-Load: 2,5, 4").load
        self.assertEqual((load.running, load.waiting, load.slots), (2, 5, 4))
        self.assertIsNone(load.work_factor)
        self.assertEqual(
            reply_of(200, b"X-Backend-Load: 1,0,2,250").load.work_factor, 2.5
        )

    def test_invalid_load_is_ignored(self):
        """Guards against choosing servers by invalid values."""
        for value in (b"", b"1,2", b"-1,0,2", b"1,0,0", b"a,b,c", b"1,0,2,nan"):
            with self.subTest(value=value):
                reply = reply_of(200, b"X-Backend-Load: " + value)
                self.assertIsNone(reply.load)
                self.assertTrue(reply.has_unreadable_load)
        self.assertIsNone(reply_of(200, b"X-Backend-Load: 1,0," + b"9" * 40).load)
        self.assertFalse(reply_of(200, b"X-Other: 1").has_unreadable_load)
