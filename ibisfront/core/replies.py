"""Validation of backend servers' replies and merging of their rows."""

from __future__ import annotations

from collections.abc import Iterable
from operator import itemgetter
from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.coverage import MissingReason
from ibisfront.core.query import SubRequestError

if TYPE_CHECKING:
    from ibisfront.core.query import SubReply

__all__ = ["SearchRows", "decode_rows", "merge_rows"]


class _RawReply(msgspec.Struct):
    """The body of a search reply, its rows undecoded."""

    snapshot: str
    rows: list[msgspec.Raw]


class _RowScore(msgspec.Struct):
    """The sort key of a row."""

    score: float = 0.0


class _ScoresReply(msgspec.Struct):
    """The body of a search reply, only the scores of its rows."""

    rows: list[_RowScore]


class SearchRows(msgspec.Struct, frozen=True):
    """The rows of one service's reply and their scores."""

    rows: list[msgspec.Raw]
    scores: list[_RowScore]


_RAW_DECODER = msgspec.json.Decoder(_RawReply)
_SCORE_DECODER = msgspec.json.Decoder(_ScoresReply)


def decode_rows(reply: SubReply, snapshot: str) -> SearchRows:
    """Return the rows of a reply, checked against the pinned snapshot.

    The body is decoded twice, once for the raw rows and once for their
    scores: two passes over the body cost less than decoding each row.

    Raises
    ------
    SubRequestError
        ``wrong_reply`` if the body is not a search result, ``snapshot_gone``
        if it comes from another snapshot.
    """
    try:
        decoded = _RAW_DECODER.decode(reply.body_json)
        scored = _SCORE_DECODER.decode(reply.body_json)
    except msgspec.MsgspecError as error:
        raise SubRequestError(MissingReason.WRONG_REPLY, not_run=False) from error
    # A server that has dropped the pinned snapshot may answer from another
    # one; its rows would mix two snapshots in one answer.
    if decoded.snapshot != snapshot:
        raise SubRequestError(MissingReason.SNAPSHOT_GONE, not_run=False)
    return SearchRows(decoded.rows, scored.rows)


def merge_rows(replies: Iterable[SearchRows]) -> tuple[msgspec.Raw, ...]:
    """Return the rows of all replies, best first."""
    scored = [
        (-score.score, row)
        for reply in replies
        for row, score in zip(reply.rows, reply.scores, strict=True)
    ]
    scored.sort(key=itemgetter(0))
    return tuple(row for _, row in scored)
