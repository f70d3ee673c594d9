"""Cost of a configuration change.

Run ``python -m benchmarks.configuration_cost``. One route is added to a
configuration of 4,200. Processor time is that of one core, the median of the runs, for
reading the store's document, sending it to subscribers and applying it. Sizes are the
bytes sent to one subscriber, in full and as a change.
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
    """Cost of one step.

    Attributes
    ----------
    step : str
        Name of the step.
    median_ms : float
        Processor time.
    sent_bytes : int
        Bytes sent to one subscriber; 0 if the step sends none.
    """

    step: str
    median_ms: float
    sent_bytes: int = 0


def measure(routes: int, runs: int) -> list[ConfigurationCost]:
    """Return the cost of each step with the given number of routes."""
    first_spec = configuration_spec(1, routes)
    next_spec = configuration_spec(2, routes + 1)
    cache = RouteCache()
    before = configuration_from(first_spec, cache)
    after = configuration_from(next_spec, cache)
    change = compute_change(before, after)
    if change is None:
        raise RuntimeError("adding one route cannot be expressed as a change")
    full = RelayedState(1, True, after, is_whole=True)
    delta = RelayedState(1, True, configuration_change=change)

    def timed(step: str, run: Callable[[], object], sent_bytes: int = 0) -> None:
        costs.append(ConfigurationCost(step, _median_ms(run, runs), sent_bytes))

    costs: list[ConfigurationCost] = []
    timed(
        "read from the store, first",
        lambda: configuration_from(first_spec, RouteCache()),
    )
    timed(
        "read from the store, one route added",
        lambda: configuration_from(next_spec, cache),
    )
    timed("compute the change", lambda: compute_change(before, after))
    timed("encode in full", lambda: encode_state(full), len(encode_state(full)))
    timed("encode the change", lambda: encode_state(delta), len(encode_state(delta)))
    timed("decode in full", lambda: _decode_change(encode_state(full)))
    timed("apply the change", lambda: apply_change(before, change))
    timed("build the route table", lambda: RouteTable(after))
    return costs


def _decode_change(data: bytes) -> ConfigurationChange | None:
    return decode_state(data, RelayedState).configuration_change


def _median_ms(run: Callable[[], object], runs: int) -> float:
    durations_ms = []
    for _ in range(runs):
        started_s = time.process_time()
        run()
        durations_ms.append((time.process_time() - started_s) * _MILLISECONDS)
    return statistics.median(durations_ms)


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
