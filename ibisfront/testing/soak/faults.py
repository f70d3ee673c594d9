"""Faults of the soak, drawn from a seed."""

from __future__ import annotations

from enum import StrEnum
from random import Random

import msgspec

__all__ = ["Fault", "FaultKind", "draw_faults"]

_LONGEST_S = 4.0
_SERIES_SHARE = 0.3
"""Share of faults that come again at once, at another target."""


class FaultKind(StrEnum):
    """What happens; see ``SoakWorld`` for how."""

    FRONT_KILL = "front_kill"
    FRONT_PAUSE = "front_pause"
    FRONT_STOP = "front_stop"
    FRONT_RELOAD = "front_reload"
    CALLERS_PATH = "callers_path"
    STORE_PATH = "store_path"
    STORE_REFUSES = "store_refuses"
    STORE_SILENT = "store_silent"
    STORE_LOSES = "store_loses"
    STORE_FORGETS = "store_forgets"
    SERVER_PATH = "server_path"
    SERVER_SLOW = "server_slow"
    SERVER_FAILS = "server_fails"
    SERVER_DRAIN = "server_drain"
    SERVER_REPLACED = "server_replaced"
    TIMEOUTS = "timeouts"
    REPARTITION = "repartition"


class Fault(msgspec.Struct, frozen=True):
    """One fault of a run.

    Attributes
    ----------
    at_s, for_s : float
        When it begins, and how long it lasts where that means anything.
    kind : FaultKind
        What happens.
    target : int
        To which of the things that fit; taken modulo their number.
    variant : int
        Which of the ways that fit.
    """

    at_s: float
    for_s: float
    kind: FaultKind
    target: int
    variant: int


def draw_faults(seed: int, *, length_s: float, a_second: float = 1.0) -> list[Fault]:
    """Return the faults of a run, in order; the same for the same seed."""
    random = Random(seed)
    kinds = list(FaultKind)
    faults: list[Fault] = []
    at_s = 0.0
    while (at_s := at_s + random.expovariate(a_second)) < length_s:
        fault = Fault(
            at_s=at_s,
            for_s=min(random.uniform(0.2, _LONGEST_S), length_s - at_s),
            kind=random.choice(kinds),
            target=random.randrange(1_000),
            variant=random.randrange(1_000),
        )
        faults.append(fault)
        if random.random() < _SERIES_SHARE:
            again = msgspec.structs.replace(
                fault, at_s=at_s + 0.1, target=random.randrange(1_000)
            )
            faults.append(again)
    return faults
