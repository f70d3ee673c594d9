"""A walk over the closed list of errors, as a caller sees each."""

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


class Listener:
    """An ASGI server of one request at a time, without sockets."""

    def __init__(self, handler):
        self.exchanges = []
        self.application = asgi_application(
            (Route("POST", re.compile("/v1/try/([^/]+)"), handler),),
            clock=Clock(),
            maximum_body_bytes=100,
            observe=self.exchanges.append,
        )

    async def post(self, *headers, path="/v1/try/x", method="POST"):
        """Send one request and return what came back."""
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


class ErrorWalkTest(unittest.TestCase):
    """Every kind of error comes back as the table says."""

    @trio_test
    async def test_each_kind_brings_its_problem(self):
        for kind in ErrorKind:
            with self.subTest(kind=kind):
                listener = Listener(raising(IbisfrontError(kind, "detail of it")))
                reply = await listener.post((b"X-Request-Id", b"r-1"))
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
    async def test_a_fault_of_ours_may_have_run_and_shows_nothing_inside(self):
        listener = Listener(raising(KeyError("secret inside")))
        reply = await listener.post()
        self.assertEqual(reply.problem.code, "internal")
        self.assertEqual(reply.problem.ran, Ran.MAYBE)
        self.assertNotIn(b"secret", reply.body)
        self.assertIsInstance(listener.exchanges[0].error, KeyError)

    @trio_test
    async def test_wrong_method_names_the_right_ones(self):
        reply = await Listener(echo).post(method="GET")
        self.assertEqual(reply.problem.code, "method_not_allowed")
        self.assertEqual(reply.headers["allow"], "POST")

    @trio_test
    async def test_a_made_request_id_is_the_same_everywhere(self):
        listener = Listener(raising(IbisfrontError(ErrorKind.OVERLOADED, "full")))
        reply = await listener.post()
        self.assertEqual(reply.headers["x-request-id"], reply.problem.request_id)
        self.assertEqual(
            listener.exchanges[0].request_id, reply.headers["x-request-id"]
        )


def raising(error):
    """Return a handler that raises an error."""

    async def handler(request: HttpRequest):
        raise error

    return handler


async def echo(request: HttpRequest):
    """Answer with what came."""
    return msgspec.json.encode(request)
