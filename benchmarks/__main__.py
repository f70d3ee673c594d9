"""``python -m benchmarks``: run scenarios, write the report, check the bounds."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

import msgspec
import trio

from benchmarks.bounds import read_bounds, violated_bounds
from benchmarks.recorded import read_recorded, record, recorded_of
from benchmarks.report import html_page, text_table
from benchmarks.runner import BASELINE, OURS, Run, run_scenario
from benchmarks.scenarios import SCENARIOS, scenario_named
from benchmarks.shapes import LISTING, MAILING

_RESULTS = Path("bench-results")
_LISTING_SCENARIOS = ("healthy", "stragglers", "server frozen", "rolling restart")


def main() -> int:
    """Run the selected scenarios; return 1 if a bound is violated."""
    options = _options()
    runs = trio.run(_run_all, options)
    recorded = read_recorded()
    violations = violated_bounds(runs, read_bounds())
    _RESULTS.mkdir(exist_ok=True)
    (_RESULTS / "runs.json").write_bytes(msgspec.json.encode(runs))
    (_RESULTS / "report.html").write_text(
        html_page([*runs, *recorded_of(runs, recorded)], violations)
    )
    print(text_table([*runs, *recorded_of(runs, recorded)]))
    for line in violations:
        print(f"BROKEN: {line}")
    print(
        f"{len(runs)} runs, {len(violations)} bounds violated: {_RESULTS}/report.html"
    )
    if options.record:
        record(runs)
    return 1 if violations else 0


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m benchmarks")
    parser.add_argument(
        "--scenario", action="append", help="run only this scenario; repeatable"
    )
    parser.add_argument("--user", choices=(MAILING, LISTING), action="append")
    parser.add_argument("--policy", choices=(OURS, BASELINE), action="append")
    parser.add_argument(
        "--record",
        action="store_true",
        help="save the figures of our policy for comparison",
    )
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


async def _run_all(options: argparse.Namespace) -> list[Run]:
    runs: list[Run] = []
    scenarios = [scenario_named(name) for name in options.scenario or ()] or SCENARIOS
    for user in options.user or (MAILING, LISTING):
        for scenario in scenarios:
            if (
                not options.scenario
                and user == LISTING
                and scenario.name not in _LISTING_SCENARIOS
            ):
                continue
            for policy in options.policy or (OURS, BASELINE):
                run = await run_scenario(
                    scenario, user=user, policy=policy, seed=options.seed
                )
                runs.append(run)
                print(text_table([run]).splitlines()[-1], file=sys.stderr, flush=True)
    return runs


if __name__ == "__main__":
    sys.exit(main())
