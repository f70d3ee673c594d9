"""Faulty variants of the ledger; the state machine must detect each fault."""

from __future__ import annotations

import math
from collections.abc import Callable
from contextlib import AbstractContextManager, ExitStack
from unittest.mock import patch

import msgspec
import trio

from ibisfront.core import claimed_run, claimer, ledger, ledger_bucket, ledger_messages
from ibisfront.core.attempts import Attempt, AttemptRegistry, AttemptState
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.ledger_bucket import ChangeResult
from ibisfront.core.ledger_messages import AttemptStatusReply
from ibisfront.core.ledger_writer import LedgerWriter
from ibisfront.core.query import SubRequestError
from ibisfront.testing import ledger_simulation
from properties.ledger_histories import (
    BackendRules,
    ClockRules,
    CopyRules,
    History,
    PartitionRules,
    PlatformRules,
    ProcessRules,
)

__all__ = ["VARIANTS", "Variant"]


def claim_after_send():
    """Send first, and claim once it has run."""

    async def acquire(self, attempt):
        attempt.submitted = True
        return attempt.claim_record()

    return patch.object(claimer.Claimer, "acquire", acquire)


def treat_lost_write_as_failed():
    """Report a claim as failed when only the response to its write was lost."""
    lost = set()
    record_failure = LedgerWriter._record_failure
    attempt_status = ledger_messages.attempt_status

    def record(self, queue, error):
        if error.kind is ErrorKind.WRITE_UNKNOWN:
            lost.update(change.key.text for change in queue.pending)
        record_failure(self, queue, error)

    def report_status(attempt):
        is_open = attempt is not None and attempt.state is AttemptState.OPEN
        if is_open and attempt.key.text in lost:
            return AttemptStatusReply(AttemptState.DROPPED)
        return attempt_status(attempt)

    return _patches(
        patch.object(LedgerWriter, "_record_failure", record),
        patch.object(claimer, "attempt_status", report_status),
    )


def treat_lost_write_as_done():
    """Send although the write of the claim had no response."""
    record_failure = LedgerWriter._record_failure

    def record(self, queue, error):
        record_failure(self, queue, error)
        if error.kind is ErrorKind.WRITE_UNKNOWN:
            pending, queue.pending = queue.pending, []
            for change in pending:
                change.resolve(ChangeResult(change.update(None)))

    return patch.object(LedgerWriter, "_record_failure", record)


def recreate_after_expiry():
    """Treat a key older than the object's slot as a new one."""

    def apply(bucket, change, size_bytes):
        updated = change.update(bucket.records.get(change.key.text))
        if updated is not None:
            bucket.records[change.key.text] = updated
        return ChangeResult(updated)

    return patch.object(ledger_bucket, "_apply", apply)


def send_after_rejection():
    """Reject a copy whose claim is slow, and let the claim proceed."""
    claim_and_run = ledger.Ledger._claim_and_run

    async def refuse_when_slow(self, attempt, request, purpose):
        answers = []
        ended = trio.Event()

        async def proceed():
            try:
                answers.append(await claim_and_run(self, attempt, request, purpose))
            except IbisfrontError as error:
                answers.append(error)
            ended.set()

        self._nursery.start_soon(proceed)
        left_ms = attempt.deadline_at_ms - self._clock.now_ms()
        with self._clock.timeout_ms(left_ms / 2):
            await ended.wait()
        if not answers and attempt.state is AttemptState.OPEN:
            raise IbisfrontError(ErrorKind.CLAIM_UNAVAILABLE, "the claim is slow")
        await ended.wait()
        if isinstance(answers[0], IbisfrontError):
            raise answers[0]
        return answers[0]

    return _patches(
        patch.object(ledger.Ledger, "_claim_and_run", refuse_when_slow),
        patch.object(ledger.Ledger, "_release_attempt", lambda self, attempt: None),
    )


def send_late():
    """Send after the deadline, and give the server an unlimited one."""
    exchange = ledger_simulation.FakeConnection.exchange

    def start_send(self, *, now_ms):
        self.state = AttemptState.SENT
        return True

    async def exchange_late(self, work, sub_request):
        late = msgspec.structs.replace(sub_request, deadline_at_ms=math.inf)
        return await exchange(self, work, late)

    return _patches(
        patch.object(Attempt, "start_send", start_send),
        patch.object(ledger_simulation.FakeConnection, "exchange", exchange_late),
    )


def retry_on_reset():
    """Try another server when the connection breaks after the send."""
    try_servers = claimed_run._try_servers

    async def retry(run, send_once):
        async def send_once_with_retry(claimed):
            try:
                return await send_once(claimed)
            except SubRequestError as error:
                raise SubRequestError(error.reason, not_run=True) from error

        return await try_servers(run, send_once_with_retry)

    return patch.object(claimed_run, "_try_servers", retry)


def take_over_from_unresponsive():
    """Take over the claim of an instance that does not answer."""

    def cannot_run(self):
        return self.state is None or self.state is AttemptState.DROPPED

    return patch.object(AttemptStatusReply, "cannot_run", property(cannot_run))


def ignore_process_name():
    """Let a restarted instance answer for its previous process."""

    def init(self, *, instance, process):
        original(self, instance=instance, process="")

    original = AttemptRegistry.__init__
    return patch.object(AttemptRegistry, "__init__", init)


def write_without_condition():
    """Replace any version of the object."""
    write_batch = LedgerWriter._write_batch

    class Unconditional:
        def __init__(self, platform):
            self._platform = platform

        async def get(self, kind, name):
            return await self._platform.get(kind, name)

        async def put(self, kind, name, value_json, *, if_version):
            found = await self._platform.get(kind, name)
            version = None if found is None else found.version
            return await self._platform.put(kind, name, value_json, if_version=version)

    async def write(self, queue, view):
        if not isinstance(self._platform, Unconditional):
            self._platform = Unconditional(self._platform)
        await write_batch(self, queue, view)

    return patch.object(LedgerWriter, "_write_batch", write)


def _patches(*items):
    stack = ExitStack()
    for item in items:
        stack.enter_context(item)
    return stack


class Variant(msgspec.Struct, frozen=True):
    """A faulty variant, and the rules that can reveal its fault.

    Other rules would only lengthen the search; the complete machine has them.
    """

    inject: Callable[[], AbstractContextManager[object]]
    rules: tuple[type, ...]

    @property
    def machine(self):
        """The state machine of these rules."""
        return type("VariantHistory", (CopyRules, *self.rules, History), {})


VARIANTS = (
    Variant(claim_after_send, ()),
    Variant(treat_lost_write_as_failed, (PlatformRules,)),
    Variant(treat_lost_write_as_done, (PlatformRules,)),
    Variant(recreate_after_expiry, (ClockRules,)),
    Variant(send_after_rejection, ()),
    Variant(retry_on_reset, (BackendRules,)),
    Variant(take_over_from_unresponsive, (PartitionRules,)),
    Variant(ignore_process_name, (ProcessRules,)),
    Variant(write_without_condition, ()),
    Variant(send_late, (BackendRules, ProcessRules)),
)
