"""Input and output of the load process."""

from __future__ import annotations

from typing import Literal

import msgspec

__all__ = ["LoadClass", "LoadPlan", "LoadResult", "Observation", "Target"]


class Target(msgspec.Struct, frozen=True):
    """One entry instance, as the fake load balancer sees it."""

    name: str
    zone: str
    caller_address: str


class LoadClass(msgspec.Struct, frozen=True, kw_only=True):
    """One stream of requests.

    Attributes
    ----------
    name : str
        Name in the report.
    branch, purpose : str
        Row of the table that the requests count against.
    kind : {"search", "perform"}
        Kind of the requests.
    rate_per_s : float
        Mean rate of the Poisson arrivals.
    start_s, end_s : float
        Interval within the run; ``end_s`` of 0 is the end of the run.
    deadline_ms : int
        Deadline of each request, from when it is sent.
    marker : str
        Marker in each body, for a fault that a particular request triggers.
    copies : int
        Number of times each request is sent, with the same idempotency key.
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
        Name of its load class.
    at_ms : float
        When it was due, from the start of the run.
    latency_ms : float
        Time from when it was due to the end of its answer, including a late start.
    status : int
        The HTTP status; 0 if the connection failed.
    code : str
        The error code; empty for an answer.
    answered, total : int
        The coverage of an answer.
    wrong : str
        What was wrong with an answer; empty if it was correct.
    ran : str
        Whether the request ran, as reported by an error.
    key : str
        The idempotency key, if any.
    name : str
        Unique name of the request, the marker in its body.
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
    """Output of the load process."""

    observations: tuple[Observation, ...]
    late_starts: int
