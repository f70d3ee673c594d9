"""Tests of at-most-once execution with real processes, by runs of each key."""

from __future__ import annotations

import random
import secrets
import signal
import time
import unittest
from collections import Counter

import httpcore
import msgspec
import trio

from ibisfront.core.errors import Ran
from ibisfront.core.idempotency_key import make_key
from ibisfront.core.query import PerformAnswer
from ibisfront.testing.backend_types import PerformRun
from ibisfront.testing.deployment import Deployment, InstanceProcess, register_shape
from ibisfront.tests import trio_test_real_clock

PATH = "/v1/branches/vestry/purposes/print-envelopes/perform"
NO_FAULTS = {
    "outage": "none",
    "lose_answers_fraction": 0.0,
    "late_writes_fraction": 0.0,
}
CALLERS = 6
COPIES = 4


class _Problem(msgspec.Struct):
    code: str
    ran: Ran


class _CopyAnswer(msgspec.Struct):
    """The answer to one copy; without ``ran`` if its caller gave up."""

    copy: str
    key: str
    ran: Ran | None = None
    code: str = ""


def new_key() -> str:
    """Return a key with the current time."""
    return make_key(wall_ms=time.time() * 1000.0, random_bits=secrets.randbits(74))


async def performed_runs(deployment: Deployment) -> list[PerformRun]:
    """Return all runs at the print queue's servers."""
    runs: list[PerformRun] = []
    for server in deployment.backend_servers["print-queue"]:
        runs += await deployment.performed(server.name)
    return runs


class EndToEndTest(unittest.TestCase):
    """One non-idempotent request, from end to end."""

    @trio_test_real_clock
    async def test_copies_at_two_instances_print_one_envelope(self):
        async with Deployment(register_shape(services=1, instances=2)) as deployment:
            key = new_key()
            replies = [
                await deployment.perform(
                    instance, "vestry", "print-envelopes", {"n": 1}, key=key
                )
                for instance in deployment.instances
            ]
            runs = await performed_runs(deployment)
            reused = await deployment.perform(
                deployment.instances[1], "vestry", "print-envelopes", {"n": 2}, key=key
            )
            outcome = await deployment.client.send(
                "GET", deployment.instances[0].url(f"/v1/requests/{key}")
            )
        for reply in replies:
            self.assertEqual(reply.status, 200, reply.body)
        answers = [reply.decode(PerformAnswer) for reply in replies]
        self.assertEqual([item.repeated for item in answers], [False, True])
        self.assertEqual(answers[0].result_json, answers[1].result_json)
        self.assertEqual([run.request for run in runs], [{"n": 1}])
        self.assertEqual(reused.status, 422)
        self.assertEqual(
            outcome.decode(PerformAnswer).result_json, answers[0].result_json
        )


class Callers:
    """Callers that resend each request until it has an outcome."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.random = random.Random(6)
        self.answers: list[_CopyAnswer] = []
        self.stopped = False

    async def run(self) -> None:
        """Send requests one after the other."""
        while not self.stopped:
            key = new_key()
            async with trio.open_nursery() as nursery:
                if self.random.random() < 0.5:
                    nursery.start_soon(self.send, key)
                for _ in range(COPIES):
                    if await self.send(key) is Ran.YES:
                        break

    async def send(self, key: str) -> Ran | None:
        """Send one copy to a random instance and record its answer."""
        answer = _CopyAnswer(secrets.token_hex(8), key)
        self.answers.append(answer)
        instance = self.random.choice(self.deployment.instances)
        headers = {
            "Idempotency-Key": key,
            "X-Request-Id": answer.copy,
            "X-Deadline-Ms": "800",
        }
        try:
            with trio.move_on_after(1.0):
                reply = await self.deployment.client.send(
                    "POST", instance.url(PATH), body={"key": key}, headers=headers
                )
                if reply.status == 200:
                    answer.ran = Ran.YES
                else:
                    problem = reply.decode(_Problem)
                    answer.ran, answer.code = problem.ran, problem.code
        except (OSError, httpcore.NetworkError, httpcore.ProtocolError):
            pass  # the instance was killed
        return answer.ran


async def kill(deployment: Deployment, instance: InstanceProcess) -> InstanceProcess:
    """Kill an instance with SIGKILL and start another in its place."""
    instance.process.send(signal.SIGKILL)
    await instance.process.wait()
    deployment.instances.remove(instance)
    return await deployment.start_instance(instance.name, predecessor=instance)


async def pause(instance: InstanceProcess, *, seconds: float) -> None:
    """Stop an instance for a time, then resume it."""
    instance.process.send(signal.SIGSTOP)
    await trio.sleep(seconds)
    instance.process.send(signal.SIGCONT)


async def inject_faults(deployment: Deployment) -> None:
    """Kill and pause instances; make the platform fail, then unavailable."""
    by_name = {instance.name: instance for instance in deployment.instances}
    for server in deployment.backend_servers["print-queue"]:
        await deployment.command_backend(
            server.name, "faults", lose_answer_fraction=0.1
        )
    await trio.sleep(0.5)
    await kill(deployment, by_name["i1"])
    await pause(by_name["i2"], seconds=1.2)
    await deployment.set_platform_faults(
        lose_answers_fraction=0.3, late_writes_fraction=0.2, late_write_ms=400.0
    )
    await trio.sleep(1.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lambda: pause(by_name["i3"], seconds=1.2))
        await trio.sleep(0.4)
        await deployment.set_platform_faults(**NO_FAULTS | {"outage": "refuse"})
    await trio.sleep(0.5)
    await deployment.set_platform_faults(**NO_FAULTS)
    await kill(deployment, by_name["i3"])
    await trio.sleep(1.0)


class FaultInjectionTest(unittest.TestCase):
    """No duplicate runs while instances, platform and servers fail."""

    @trio_test_real_clock
    async def test_kills_pauses_and_an_outage_print_no_duplicate(self):
        """A paused or killed instance causes an envelope to be printed twice.

        A caller gets no answer and sends its request again to another
        instance, while the first is paused right before its send, or was
        killed right after it, or the platform lost the response to its claim.
        """
        async with Deployment(register_shape(services=1, instances=3)) as deployment:
            callers = Callers(deployment)
            async with trio.open_nursery() as nursery:
                for _ in range(CALLERS):
                    nursery.start_soon(callers.run)
                await inject_faults(deployment)
                callers.stopped = True
            runs = await performed_runs(deployment)
        by_key = Counter(run.request["key"] for run in runs)
        duplicates = [key for key, count in by_key.items() if count > 1]
        ran_copies = {run.request_id.partition(".")[0] for run in runs}
        not_run = {item.copy for item in callers.answers if item.ran is Ran.NO}
        self.assertEqual(duplicates, [])
        self.assertEqual(not_run & ran_copies, set())
        for answer in callers.answers:
            if answer.ran is Ran.YES:
                self.assertEqual(by_key[answer.key], 1, answer)
        outcomes = Counter(answer.ran for answer in callers.answers)
        codes = Counter(answer.code for answer in callers.answers)
        counts = f"{len(by_key)} printed, answers {dict(outcomes)}, codes {dict(codes)}"
        self.assertGreater(len(by_key), 20, counts)
        self.assertGreater(outcomes[Ran.NO], 0, counts)
