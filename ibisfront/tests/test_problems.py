"""Tests of the problem document that a caller receives for each error kind."""

from __future__ import annotations

import re
import unittest

import msgspec

from ibisfront.adapters.asgi import asgi_application
from ibisfront.adapters.http import HttpRequest, Route
from ibisfront.core.clock import Clock
from ibisfront.core.errors import ANSWERS, ErrorKind, IbisfrontError, Ran
from ibisfront.tests import trio_test
from ibisfront.tests.raw_http import ProblemBody, RawReply


class AsgiServer:
    """An ASGI server without sockets, for one request at a time."""

    def __init__(self, handler):
        self.exchanges = []
        self.application = asgi_application(
            (Route("POST", re.compile("/v1/try/([^/]+)"), handler),),
            clock=Clock(),
            maximum_body_bytes=100,
            observe=self.exchanges.append,
        )

    async def post(self, *headers, path="/v1/try/x", method="POST"):
        """Send one request and return the response."""
        sent = []
        scope = {
            "type": "http",
            "method": method,
            "raw_path": path.encode(),
            "headers": headers,
        }

        async def receive():
            return {"type": "http.request", "body": b"", "more_body": False}

        async def send(message):
            sent.append(message)

        await self.application(scope, receive, send)
        return RawReply(
            sent[0]["status"],
            {name.decode(): value.decode() for name, value in sent[0]["headers"]},
            b"".join(message["body"] for message in sent[1:]),
        )


class ProblemDocumentTest(unittest.TestCase):
    """Every error kind produces the response defined for it."""

    @trio_test
    async def test_each_kind_has_its_problem_document(self):
        for kind in ErrorKind:
            with self.subTest(kind=kind):
                server = AsgiServer(
                    handler_raising(IbisfrontError(kind, "detail of it"))
                )
                reply = await server.post((b"X-Request-Id", b"r-1"))
                answer = ANSWERS[kind]
                self.assertEqual(
                    reply.problem,
                    ProblemBody(
                        type=f"urn:ibisfront:error:{kind.value}",
                        title=answer.title,
                        status=answer.status,
                        detail="detail of it",
                        code=kind.value,
                        ran=answer.ran.value,
                        request_id="r-1",
                        retry_after_ms=answer.retry_after_ms,
                    ),
                )
                self.assertEqual(reply.status, answer.status)
                self.assertEqual(reply.headers["x-request-id"], "r-1")
                self.check_advice(answer, reply)

    def check_advice(self, answer, reply):
        advised = answer.retry_after_ms
        if advised is None:
            self.assertNotIn("retry-after", reply.headers)
        else:
            self.assertGreaterEqual(int(reply.headers["retry-after"]) * 1000, advised)

    @trio_test
    async def test_internal_error_may_have_run_and_reveals_no_details(self):
        server = AsgiServer(handler_raising(KeyError("secret inside")))
        reply = await server.post()
        self.assertEqual(reply.problem.code, "internal")
        self.assertEqual(reply.problem.ran, Ran.MAYBE)
        self.assertNotIn(b"secret", reply.body)
        self.assertIsInstance(server.exchanges[0].error, KeyError)

    @trio_test
    async def test_wrong_method_lists_the_allowed_ones(self):
        reply = await AsgiServer(echo).post(method="GET")
        self.assertEqual(reply.problem.code, "method_not_allowed")
        self.assertEqual(reply.headers["allow"], "POST")

    @trio_test
    async def test_generated_request_id_is_consistent(self):
        server = AsgiServer(
            handler_raising(IbisfrontError(ErrorKind.OVERLOADED, "full"))
        )
        reply = await server.post()
        self.assertEqual(reply.headers["x-request-id"], reply.problem.request_id)
        self.assertEqual(server.exchanges[0].request_id, reply.headers["x-request-id"])


def handler_raising(error):
    """Return a handler that raises an error."""

    async def handler(request: HttpRequest):
        raise error

    return handler


async def echo(request: HttpRequest):
    """Return the request as JSON."""
    return msgspec.json.encode(request)
