"""Tests of invalid input to the callers' listener, over real sockets."""

from __future__ import annotations

import unittest
from functools import partial

import msgspec

from ibisfront.core.query import Answer
from ibisfront.testing.deployment import Deployment, register_shape
from ibisfront.tests import trio_test_real_clock
from ibisfront.tests.raw_http import http2_bytes, post_bytes, send_bytes

QUERY = "/v1/branches/vestry/purposes/name-check/query"
PERFORM = "/v1/branches/vestry/purposes/print-envelopes/perform"
KEY = "Idempotency-Key: 01890a5d-ac96-774b-bcce-b302099a8057"
LIMIT = 65_536

post = partial(post_bytes, QUERY)


class Case(msgspec.Struct, frozen=True):
    """One invalid request and the problem document that it must return."""

    name: str
    sent: bytes
    code: str
    names: str


CASES = (
    Case("not JSON", post(b'{"name":'), "bad_request", "JSON"),
    Case("no body", post(b""), "bad_request", "JSON"),
    Case("invalid UTF-8", post(b'{"name":"\xff"}'), "bad_request", "UTF-8"),
    Case("too deep to decode", post(b"[" * 30_000), "bad_request", "nested"),
    Case(
        "too deep for a backend server",
        post(b"[" * 300 + b"]" * 300),
        "bad_request",
        "nested",
    ),
    Case("long body", post(b'"' + b"x" * LIMIT + b'"'), "body_too_large", str(LIMIT)),
    Case(
        "long body announced",
        post(b"", "Content-Length: 99999999999"),
        "body_too_large",
        str(LIMIT),
    ),
    Case(
        "long body in chunks",
        post(
            b"".join(b"4000\r\n" + b"x" * 0x4000 + b"\r\n" for _ in range(5)),
            "Content-Length-Not: 0",
            "Transfer-Encoding: chunked",
        ),
        "body_too_large",
        str(LIMIT),
    ),
    Case("deadline 0", post(b"{}", "X-Deadline-Ms: 0"), "bad_request", "'0'"),
    Case("deadline -1", post(b"{}", "X-Deadline-Ms: -1"), "bad_request", "'-1'"),
    Case("deadline 1.5", post(b"{}", "X-Deadline-Ms: 1.5"), "bad_request", "'1.5'"),
    Case(
        "deadline of 5,000 digits",
        post(b"{}", "X-Deadline-Ms: " + "9" * 5000),
        "bad_request",
        "X-Deadline-Ms",
    ),
    Case(
        "two deadlines",
        post(b"{}", "X-Deadline-Ms: 5", "X-Deadline-Ms: 5000"),
        "bad_request",
        "x-deadline-ms",
    ),
    Case(
        "two keys",
        post_bytes(PERFORM, b"{}", KEY, KEY),
        "bad_request",
        "idempotency-key",
    ),
    Case(
        "id with a space",
        post(b"{}", "X-Request-Id: a b"),
        "bad_request",
        "X-Request-Id",
    ),
    Case(
        "id not ASCII",
        post(b"{}", "X-Request-Id: J\xf3n"),
        "bad_request",
        "X-Request-Id",
    ),
    Case("no key", post_bytes(PERFORM, b"{}"), "key_missing", "Idempotency-Key"),
    Case(
        "unknown branch",
        post_bytes(QUERY.replace("vestry", "s%C3%B3kn%2Fx"), b"{}"),
        "unknown_branch",
        "sókn/x",
    ),
    Case(
        "unknown purpose",
        post_bytes(QUERY.replace("name-check", "nothing"), b"{}"),
        "unknown_purpose",
        "nothing",
    ),
    Case(
        "search of a perform purpose",
        post_bytes(QUERY.replace("name-check", "print-envelopes"), b"{}"),
        "wrong_kind_of_purpose",
        "print-envelopes",
    ),
    Case(
        "encoding not UTF-8",
        post_bytes(QUERY.replace("vestry", "%FF"), b"{}"),
        "bad_request",
        "%FF",
    ),
    Case(
        "malformed encoding",
        post_bytes(QUERY.replace("vestry", "a%zz"), b"{}"),
        "bad_request",
        "%zz",
    ),
    Case(
        "control character",
        post_bytes(QUERY.replace("vestry", "a%00b"), b"{}"),
        "bad_request",
        "%00",
    ),
    Case("unknown path", post_bytes("/v2/x", b"{}"), "not_found", "/v2/x"),
    Case("GET", post_bytes(QUERY, b"", method="GET"), "method_not_allowed", "POST"),
    Case("PUT", post_bytes(QUERY, b"{}", method="PUT"), "method_not_allowed", "POST"),
)

NOT_HTTP = (
    b"\x00\xff\x16\x03\x01 nothing\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: a\r\nbad header\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 100_000 + b"\r\n\r\n",
    b"GET /\xff HTTP/1.1\r\nHost: a\r\n\r\n",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\xff" * 100,
    http2_bytes(b"/\xff"),
    http2_bytes(b""),
    b"GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade, HTTP2-Settings\r\n"
    b"Upgrade: h2c\r\nHTTP2-Settings: \xff!\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
    b"Sec-WebSocket-Key: x\r\nSec-WebSocket-Version: 13\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
)


class BadInputTest(unittest.TestCase):
    """Invalid input returns one clear problem; the daemon keeps running."""

    @trio_test_real_clock
    async def test_each_invalid_request_returns_one_clear_problem(self):
        """Guards against unclear or wrong responses to invalid requests.

        A deeply nested body or a deadline of 5,000 digits must not return an
        internal error that may have run, an encoded slash must not split the
        path, and the last of two deadlines must not silently win.
        """
        async with Deployment(register_shape(services=1, instances=1)) as deployment:
            address = deployment.instances[0].caller_address
            for case in CASES:
                with self.subTest(case.name):
                    self.check(case, await send_bytes(address, case.sent))
            self.assertEqual((await valid_search(deployment)).coverage.answered, 1)

    @trio_test_real_clock
    async def test_bytes_that_are_not_http_do_not_stop_the_daemon(self):
        """Guards against one connection's exception stopping the daemon.

        A port scanner or faulty client sends bytes that are not HTTP, or part
        of another protocol. With ``hypercorn``'s own accept loop, an HTTP/2
        request with a non-ASCII path stops the whole process.
        """
        async with Deployment(register_shape(services=1, instances=1)) as deployment:
            address = deployment.instances[0].caller_address
            for sent in NOT_HTTP:
                with self.subTest(sent[:60]):
                    reply = await send_bytes(address, sent)
                    self.assertNotIn(reply.status, {200, 500})
                    answer = await valid_search(deployment)
                    self.assertEqual(answer.coverage.answered, 1)

    def check(self, case, reply):
        problem = reply.problem
        self.assertEqual(problem.code, case.code)
        self.assertEqual(problem.ran, "no")
        self.assertEqual(problem.status, reply.status)
        self.assertIn(case.names, problem.detail)
        self.assertEqual(reply.headers["content-type"], "application/problem+json")
        self.assertEqual(reply.headers["x-request-id"], problem.request_id)


async def valid_search(deployment):
    """Return the answer to a valid search."""
    reply = await deployment.search(
        deployment.instances[0], "vestry", "name-check", {"name": "Jón"}
    )
    return reply.decode(Answer)
