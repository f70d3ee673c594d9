"""What the load process is told, and what it tells back."""

from __future__ import annotations

from typing import Literal

import msgspec

__all__ = ["LoadClass", "LoadPlan", "LoadResult", "Observation", "Target"]


class Target(msgspec.Struct, frozen=True):
    """One entry instance, as the balancer's stand-in sees it."""

    name: str
    zone: str
    caller_address: str


class LoadClass(msgspec.Struct, frozen=True, kw_only=True):
    """One stream of requests.

    Attributes
    ----------
    name : str
        Its name in the report.
    branch, purpose : str
        The row that it counts against.
    kind : {"search", "perform"}
        What it sends.
    rate_per_s : float
        Arrivals a second, Poisson.
    start_s, end_s : float
        From when to when, within the run; ``end_s`` of 0 is the run's end.
    deadline_ms : int
        The budget of each request.
    marker : str
        Put into each body, for a fault that a certain request sets off.
    copies : int
        How often each request is sent, with one idempotency key.
    """

    name: str
    branch: str
    purpose: str
    kind: Literal["search", "perform"] = "search"
    rate_per_s: float
    start_s: float = 0.0
    end_s: float = 0.0
    deadline_ms: int = 1000
    marker: str = ""
    copies: int = 1


class LoadPlan(msgspec.Struct, frozen=True):
    """One run of the load process."""

    targets: tuple[Target, ...]
    classes: tuple[LoadClass, ...]
    duration_s: float
    seed: int


class Observation(msgspec.Struct, frozen=True):
    """One request as its caller saw it.

    Attributes
    ----------
    load_class : str
        The stream that it belongs to.
    at_ms : float
        When it was due, from the start of the run.
    latency_ms : float
        From when it was due to its answer's end; so a late start counts.
    status : int
        The HTTP status; 0 if the connection failed.
    code : str
        The error code; empty for an answer.
    answered, total : int
        The coverage of an answer.
    wrong : str
        What was wrong with an answer; empty if nothing was.
    ran : str
        What an error said about having run.
    key : str
        The idempotency key, if any.
    name : str
        The request's own name, the marker in its body.
    zone : str
        The zone of the entry instance that it was sent to.
    """

    load_class: str
    at_ms: float
    latency_ms: float
    status: int
    code: str = ""
    answered: int = 0
    total: int = 0
    wrong: str = ""
    ran: str = ""
    key: str = ""
    name: str = ""
    zone: str = ""


class LoadResult(msgspec.Struct, frozen=True):
    """What the load process prints."""

    observations: tuple[Observation, ...]
    late_starts: int
