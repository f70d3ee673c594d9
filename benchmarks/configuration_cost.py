"""What a change of the configuration costs.

Run ``python -m benchmarks.configuration_cost``. A configuration of 4,200 routes gets
one more. Processor time is that of one core, the median of the runs: reading what the
store hands out, telling followers, and putting it in force. Sizes are what one
follower is sent, whole and as a change.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import time
from collections.abc import Callable

import msgspec

from ibisfront.gateway.state.configuration import RouteTable
from ibisfront.gateway.state.configuration_change import (
    ConfigurationChange,
    apply_change,
    compute_change,
)
from ibisfront.gateway.state.route_cache import RouteCache
from ibisfront.gateway.state.state_codec import decode_state, encode_state
from ibisfront.gateway.state.state_relay import RelayedState
from ibisfront.platform.documents import configuration_from
from ibisfront.testing.large_configuration import configuration_spec

__all__ = ["ConfigurationCost", "measure"]

_ROUTES = 4_200
_RUNS = 15
_MILLISECONDS = 1000.0


class ConfigurationCost(msgspec.Struct, frozen=True):
    """What one step costs.

    Attributes
    ----------
    step : str
        The step.
    median_ms : float
        Processor time.
    sent_bytes : int
        What a follower is sent in it; 0 where nothing is.
    """

    step: str
    median_ms: float
    sent_bytes: int = 0


def measure(routes: int, runs: int) -> list[ConfigurationCost]:
    """Return what each step costs with so many routes."""
    first_spec = configuration_spec(1, routes)
    next_spec = configuration_spec(2, routes + 1)
    cache = RouteCache()
    before = configuration_from(first_spec, cache)
    after = configuration_from(next_spec, cache)
    change = compute_change(before, after)
    if change is None:
        raise RuntimeError("one route more cannot be told as a change")
    whole = RelayedState(1, True, after, is_whole=True)
    told = RelayedState(1, True, configuration_change=change)

    def timed(step: str, run: Callable[[], object], sent_bytes: int = 0) -> None:
        costs.append(ConfigurationCost(step, _median_ms(run, runs), sent_bytes))

    costs: list[ConfigurationCost] = []
    timed(
        "read from the store, first",
        lambda: configuration_from(first_spec, RouteCache()),
    )
    timed(
        "read from the store, one route more",
        lambda: configuration_from(next_spec, cache),
    )
    timed("find the change", lambda: compute_change(before, after))
    timed("tell it whole", lambda: encode_state(whole), len(encode_state(whole)))
    timed("tell the change", lambda: encode_state(told), len(encode_state(told)))
    timed("take it whole", lambda: _decoded(encode_state(whole)))
    timed("take the change", lambda: apply_change(before, change))
    timed("put it in force", lambda: RouteTable(after))
    return costs


def _decoded(data: bytes) -> ConfigurationChange | None:
    return decode_state(data, RelayedState).configuration_change


def _median_ms(run: Callable[[], object], runs: int) -> float:
    taken_ms = []
    for _ in range(runs):
        started_s = time.process_time()
        run()
        taken_ms.append((time.process_time() - started_s) * _MILLISECONDS)
    return statistics.median(taken_ms)


def main() -> int:
    """Measure and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routes", type=int, default=_ROUTES)
    parser.add_argument("--runs", type=int, default=_RUNS)
    options = parser.parse_args()
    for cost in measure(options.routes, options.runs):
        print(f"{cost.step:<38} {cost.median_ms:7.2f} ms {cost.sent_bytes:9d} bytes")
    return 0


if __name__ == "__main__":
    sys.exit(main())
