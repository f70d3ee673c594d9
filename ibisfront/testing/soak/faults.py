"""Faults of a soak run, drawn from a seed."""

from __future__ import annotations

from enum import StrEnum
from random import Random

import msgspec

__all__ = ["Fault", "FaultKind", "draw_faults", "draw_overload"]

_MAXIMUM_DURATION_S = 4.0
_REPEAT_PROBABILITY = 0.3
"""Probability that a fault is repeated 0.1 s later on another target."""

_OVERLOAD_SHARE = 0.4
"""Share of a run in which every server rejects requests."""

_KILLS_IN_OVERLOAD = 3
"""Times that all fronts are killed meanwhile."""


class FaultKind(StrEnum):
    """Kind of fault; ``SoakWorld`` implements each."""

    FRONT_KILL = "front_kill"
    FRONT_PAUSE = "front_pause"
    FRONT_STOP = "front_stop"
    FRONT_RELOAD = "front_reload"
    CALLERS_PATH = "callers_path"
    STORE_PATH = "store_path"
    STORE_ERRORS = "store_refuses"
    STORE_SILENT = "store_silent"
    STORE_RESPONSE_LOST = "store_loses"
    STORE_COMPACTED = "store_forgets"
    SERVER_PATH = "server_path"
    SERVER_SLOW = "server_slow"
    SERVER_FAILS = "server_fails"
    SERVER_DRAIN = "server_drain"
    SERVER_REPLACED = "server_replaced"
    TIMEOUTS = "timeouts"
    REPARTITION = "repartition"
    ALL_SERVERS_REJECT = "all_servers_reject"
    ALL_FRONTS_KILL = "all_fronts_kill"


_DEPLOYMENT_KINDS = (FaultKind.ALL_SERVERS_REJECT, FaultKind.ALL_FRONTS_KILL)
"""Kinds that affect the whole deployment; ``draw_faults`` draws none of them."""


class Fault(msgspec.Struct, frozen=True):
    """One fault of a run.

    Attributes
    ----------
    at_s, duration_s : float
        Start from the beginning of the fault phase, and duration where the kind
        has one.
    kind : FaultKind
        What goes wrong.
    target : int
        Index of the process or server affected, modulo their number.
    variant : int
        Selects among the variants of the kind.
    """

    at_s: float
    duration_s: float
    kind: FaultKind
    target: int
    variant: int


def draw_faults(seed: int, *, length_s: float, rate_per_s: float = 1.0) -> list[Fault]:
    """Return the faults of a run in order of time; deterministic for a seed."""
    random = Random(seed)
    kinds = [kind for kind in FaultKind if kind not in _DEPLOYMENT_KINDS]
    faults: list[Fault] = []
    at_s = 0.0
    while (at_s := at_s + random.expovariate(rate_per_s)) < length_s:
        fault = Fault(
            at_s=at_s,
            duration_s=min(random.uniform(0.2, _MAXIMUM_DURATION_S), length_s - at_s),
            kind=random.choice(kinds),
            target=random.randrange(1_000),
            variant=random.randrange(1_000),
        )
        faults.append(fault)
        if random.random() < _REPEAT_PROBABILITY:
            repeated = msgspec.structs.replace(
                fault, at_s=at_s + 0.1, target=random.randrange(1_000)
            )
            faults.append(repeated)
    return faults


def draw_overload(seed: int, *, length_s: float) -> list[Fault]:
    """Return the faults that make all servers reject while all fronts restart."""
    random = Random(f"overload {seed}")
    duration_s = length_s * _OVERLOAD_SHARE
    at_s = random.uniform(0.0, length_s - duration_s)
    kills_s = sorted(
        random.uniform(at_s, at_s + duration_s) for _ in range(_KILLS_IN_OVERLOAD)
    )
    return [
        Fault(at_s, duration_s, FaultKind.ALL_SERVERS_REJECT, 0, 0),
        *(Fault(kill_s, 0.0, FaultKind.ALL_FRONTS_KILL, 0, 0) for kill_s in kills_s),
    ]
