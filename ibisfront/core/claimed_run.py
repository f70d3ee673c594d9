"""Sending of claimed requests; nothing else sends their bytes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeAlias

import msgspec

from ibisfront.core.attempts import AttemptState
from ibisfront.core.claim import ClaimRecord, ClaimState
from ibisfront.core.coverage import MissingReason
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.core.query import SubRequestError

if TYPE_CHECKING:
    from ibisfront.core.attempts import Attempt
    from ibisfront.core.clock import Clock
    from ibisfront.core.query import CallerRequest, SubReply
    from ibisfront.core.table import Purpose

__all__ = ["ClaimedRun", "SendOnce", "run_claimed"]

_LOG = part_logger(LogPart.LEDGER)

_MAXIMUM_TRIES = 3
_ANSWER_GRACE_MS = 2_000.0
_NON_RETRYABLE_REASONS = (
    MissingReason.NO_SERVER,
    MissingReason.QUARANTINED,
    MissingReason.REFUSED,
    MissingReason.TIMED_OUT,
)


class ClaimedRun:
    """One claimed request and the state needed to send it.

    Parameters
    ----------
    request : CallerRequest
        The request.
    purpose : Purpose
        Its purpose.
    attempt : Attempt
        Its attempt, whose claim is known to be in force.
    clock : Clock
        The tier's clock.

    Attributes
    ----------
    tried : set of str
        The names of the backend servers that were tried.
    """

    __slots__ = ("_clock", "attempt", "purpose", "request", "tried")

    def __init__(
        self,
        request: CallerRequest,
        purpose: Purpose,
        *,
        attempt: Attempt,
        clock: Clock,
    ) -> None:
        self.request = request
        self.purpose = purpose
        self.attempt = attempt
        self.tried: set[str] = set()
        self._clock = clock

    def start_send(self) -> None:
        """Start sending, if allowed; called right before the first byte.

        Raises
        ------
        SubRequestError
            Not run: the deadline has passed or the caller was answered.
        """
        if not self.attempt.start_send(now_ms=self._clock.now_ms()):
            raise SubRequestError(MissingReason.TIMED_OUT, not_run=True)


SendOnce: TypeAlias = Callable[[ClaimedRun], Awaitable["SubReply"]]
"""Sends a claimed request to one backend server, once.

Calls ``start_send`` with no ``await`` before the first byte, and adds the
server to ``tried``. Raises ``SubRequestError``; its ``not_run`` states whether
it is certain that the server did not run the request.
"""


class _PerformReply(msgspec.Struct):
    """The body of a backend server's reply."""

    result: msgspec.Raw


async def run_claimed(
    run: ClaimedRun, send_once: SendOnce, clock: Clock
) -> ClaimRecord:
    """Send a claimed request and return its outcome.

    Another server is tried only while no byte was sent, or after a server
    itself reported that it did not run the request. After any other failure,
    such as a reset, nothing is sent again: the request may have run.
    """
    attempt = run.attempt
    remaining_ms = attempt.deadline_at_ms - clock.now_ms() + _ANSWER_GRACE_MS
    with clock.timeout_ms(remaining_ms):
        return await _try_servers(run, send_once)
    return _record_without_reply(attempt, MissingReason.TIMED_OUT)


async def _try_servers(run: ClaimedRun, send_once: SendOnce) -> ClaimRecord:
    reason = MissingReason.NO_SERVER
    for _ in range(_MAXIMUM_TRIES):
        try:
            return _record_from_reply(run.attempt, await send_once(run))
        except SubRequestError as error:
            if error.ran:
                return run.attempt.claim_record(ClaimState.FAILED, error.reason.value)
            if not error.not_run:
                return _record_without_reply(run.attempt, error.reason)
            if error.reason is not MissingReason.NO_SERVER or not run.tried:
                reason = error.reason
            run.attempt.reopen()
            if error.reason in _NON_RETRYABLE_REASONS:
                break
        except Exception as error:
            _LOG.error(
                "Sending a claimed request failed with an internal error.",
                exc_info=error,
            )
            return _record_without_reply(run.attempt, MissingReason.WRONG_REPLY)
    return run.attempt.claim_record(ClaimState.NOT_RUN, reason.value)


def _record_without_reply(attempt: Attempt, reason: MissingReason) -> ClaimRecord:
    if attempt.state is not AttemptState.SENT:
        return attempt.claim_record(ClaimState.NOT_RUN, reason.value)
    return attempt.claim_record(ClaimState.UNKNOWN, reason.value)


def _record_from_reply(attempt: Attempt, reply: SubReply) -> ClaimRecord:
    try:
        result = msgspec.json.decode(reply.body_json, type=_PerformReply).result
    except msgspec.MsgspecError:
        return attempt.claim_record(ClaimState.FAILED, MissingReason.WRONG_REPLY.value)
    record = attempt.claim_record(ClaimState.RAN)
    return msgspec.structs.replace(record, result_json=bytes(result).decode())
