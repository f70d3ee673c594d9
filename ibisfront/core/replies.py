"""Checking the replies of backend servers and merging their rows."""

from __future__ import annotations

from collections.abc import Iterable
from operator import itemgetter
from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.coverage import MissingReason
from ibisfront.core.query import SubRequestError

if TYPE_CHECKING:
    from ibisfront.core.query import SubReply

__all__ = ["SearchRows", "checked_rows", "merged_rows"]


class _RawReply(msgspec.Struct):
    """The body of a backend server's reply to a search."""

    snapshot: str
    rows: list[msgspec.Raw]


class _Scored(msgspec.Struct):
    """The part of a row that orders it."""

    score: float = 0.0


class _ScoredReply(msgspec.Struct):
    """The same body, for the scores of its rows."""

    rows: list[_Scored]


class SearchRows(msgspec.Struct, frozen=True):
    """The rows of one service's reply, each with its score."""

    rows: list[msgspec.Raw]
    scores: list[_Scored]


_RAW_DECODER = msgspec.json.Decoder(_RawReply)
_SCORE_DECODER = msgspec.json.Decoder(_ScoredReply)


def checked_rows(reply: SubReply, snapshot: str) -> SearchRows:
    """Return the rows of a reply that belongs to the pinned snapshot.

    The body is decoded twice, once for the rows as they are and once for
    their scores: two passes over a body cost less than one over each row.

    Raises
    ------
    SubRequestError
        ``wrong_reply`` if the body is not a search result, ``snapshot_gone``
        if it is one of another snapshot.
    """
    try:
        decoded = _RAW_DECODER.decode(reply.body_json)
        scored = _SCORE_DECODER.decode(reply.body_json)
    except msgspec.MsgspecError as error:
        raise SubRequestError(MissingReason.WRONG_REPLY, not_run=False) from error
    # A server that has dropped the pinned snapshot may answer from the one
    # that it has instead. Its rows would make the answer a mix.
    if decoded.snapshot != snapshot:
        raise SubRequestError(MissingReason.SNAPSHOT_GONE, not_run=False)
    return SearchRows(decoded.rows, scored.rows)


def merged_rows(replies: Iterable[SearchRows]) -> tuple[msgspec.Raw, ...]:
    """Return all rows, best first."""
    scored = [
        (-score.score, row)
        for reply in replies
        for row, score in zip(reply.rows, reply.scores, strict=True)
    ]
    scored.sort(key=itemgetter(0))
    return tuple(row for _, row in scored)
