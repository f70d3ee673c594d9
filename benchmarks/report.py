"""Benchmark report as a text table and an HTML page."""

from __future__ import annotations

import html
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from benchmarks.figures import Bucket, Figures
    from benchmarks.runner import Run

__all__ = ["html_page", "text_table"]

_HEADINGS = (
    "user",
    "scenario",
    "policy",
    "p50",
    "p99",
    "p99.9",
    "bulk p99",
    "coverage",
    "answered",
    "extra",
    "wrong",
    "doubles",
    "false no",
    "refusals",
)
_CHART_WIDTH = 360
_CHART_HEIGHT = 90
_STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 70rem;
  padding: 0 1rem; color: #1d2733; background: #fbfbf9; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.1rem; margin: 2rem 0 .4rem; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { text-align: right; padding: .2rem .6rem; border-bottom: 1px solid #dde2e6; }
th:nth-child(-n+3), td:nth-child(-n+3), th:last-child, td:last-child {
  text-align: left; }
tr.baseline, tr.recorded { color: #7a8793; }
.pair { display: flex; flex-wrap: wrap; gap: 2rem; }
figure { margin: 0; } figcaption { font-size: .85rem; color: #55626f; }
.broken { background: #fde8e4; padding: .6rem 1rem; border-left: 4px solid #c0452c; }
.kept { background: #e5f3ea; padding: .6rem 1rem; border-left: 4px solid #2d8153; }
"""
_COLOURS = {"ours": "#1f6f8b", "baseline": "#c78b3c"}


def text_table(runs: Sequence[Run]) -> str:
    """Return the figures of all runs as a table for a terminal."""
    rows = [_HEADINGS, *(_cells(run) for run in runs)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(_HEADINGS))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    )


def html_page(runs: Sequence[Run], violations: Sequence[str]) -> str:
    """Return the figures of all runs, with charts, as one HTML page."""
    return "\n".join(
        [
            "<!doctype html><html lang='en'><meta charset='utf-8'>",
            "<title>ibisfront benchmarks</title>",
            f"<style>{_STYLE}</style><h1>ibisfront benchmarks</h1>",
            _verdict(violations),
            "<p>Latencies in milliseconds, from when each request was due.</p>",
            _html_table(runs),
            *_charts(runs),
            "</html>",
        ]
    )


def _cells(run: Run) -> tuple[str, ...]:
    figures = run.figures
    return (
        run.user,
        run.scenario,
        run.policy,
        f"{figures.p50_ms:.1f}",
        f"{figures.p99_ms:.1f}",
        f"{figures.p999_ms:.1f}",
        f"{figures.bulk_p99_ms:.1f}",
        f"{100 * figures.coverage:.2f}%",
        f"{100 * figures.answered:.1f}%",
        f"{100 * figures.extra_load:+.2f}%",
        str(figures.wrong),
        str(figures.doubles),
        str(figures.false_not_run),
        _refusals(figures),
    )


def _refusals(figures: Figures) -> str:
    return " ".join(f"{code}={count}" for code, count in figures.refusals.items())


def _verdict(violations: Sequence[str]) -> str:
    if not violations:
        return "<p class='kept'>All bounds hold.</p>"
    items = "".join(f"<li>{html.escape(line)}</li>" for line in violations)
    return f"<div class='broken'>Violated bounds:<ul>{items}</ul></div>"


def _html_table(runs: Sequence[Run]) -> str:
    heading = "".join(f"<th>{html.escape(name)}</th>" for name in _HEADINGS)
    rows = "".join(
        f"<tr class='{run.policy}'>"
        + "".join(f"<td>{html.escape(cell)}</td>" for cell in _cells(run))
        + "</tr>"
        for run in runs
    )
    return f"<table><tr>{heading}</tr>{rows}</table>"


def _charts(runs: Sequence[Run]) -> list[str]:
    charted = [run for run in runs if run.figures.buckets]
    titles = dict.fromkeys((run.user, run.scenario) for run in charted)
    return [_chart_pair(user, scenario, charted) for user, scenario in titles]


def _chart_pair(user: str, scenario: str, runs: Sequence[Run]) -> str:
    matching = [run for run in runs if (run.user, run.scenario) == (user, scenario)]
    coverage = [
        (run.policy, [100 * bucket.coverage for bucket in run.figures.buckets])
        for run in matching
    ]
    p99_ms = [
        (run.policy, [bucket.p99_ms for bucket in run.figures.buckets])
        for run in matching
    ]
    times = _times(matching[0].figures.buckets)
    return (
        f"<h2>{html.escape(user)}: {html.escape(scenario)}</h2><div class='pair'>"
        + _chart("coverage, %, over time", coverage, times, 100.0)
        + _chart("p99, ms, over time", p99_ms, times, None)
        + "</div>"
    )


def _times(buckets: Sequence[Bucket]) -> str:
    return f"0 to {buckets[-1].at_ms / 1000:.1f} s" if buckets else ""


def _chart(
    title: str,
    series: list[tuple[str, list[float]]],
    times: str,
    maximum: float | None,
) -> str:
    top = maximum or max((max(values, default=1.0) for _, values in series), default=1)
    lines = "".join(_polyline(policy, values, top) for policy, values in series)
    names = ", ".join(
        f"<span style='color:{_COLOURS[policy]}'>{policy}</span>"
        for policy, _ in series
    )
    return (
        f"<figure><svg width='{_CHART_WIDTH}' height='{_CHART_HEIGHT}' role='img'"
        f" aria-label='{title}' style='background:#fff;border:1px solid #dde2e6'>"
        f"{lines}</svg><figcaption>{title} (top: {top:.4g}; {times}): {names}"
        "</figcaption></figure>"
    )


def _polyline(policy: str, values: list[float], top: float) -> str:
    step = _CHART_WIDTH / max(len(values) - 1, 1)
    points = " ".join(
        f"{number * step:.1f},{_CHART_HEIGHT * (1 - value / max(top, 1e-9)):.1f}"
        for number, value in enumerate(values)
    )
    return (
        f"<polyline points='{points}' fill='none' stroke-width='1.6'"
        f" stroke='{_COLOURS[policy]}'/>"
    )
