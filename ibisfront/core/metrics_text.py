"""Metrics of an instance in the Prometheus text format."""

from __future__ import annotations

from itertools import groupby
from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.counters import COUNTER_HELP

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ibisfront.core.counters import CounterValue

__all__ = ["CONTENT_TYPE", "Gauge", "LatencySample", "MetricLabel", "metrics_text"]

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
"""Media type of the text format."""

_PREFIX = "ibisfront_"
_LATENCY = "request_latency_ms"
_LATENCY_HELP = "Latencies of answered requests, in milliseconds."


class Gauge(msgspec.Struct, frozen=True):
    """A value that can go up and down."""

    name: str
    help_text: str
    value: float


class MetricLabel(msgspec.Struct, frozen=True):
    """One label of a sample."""

    name: str
    value: str


class LatencySample(msgspec.Struct, frozen=True):
    """Latencies of one kind of request since the process started."""

    labels: tuple[MetricLabel, ...]
    count: int
    sum_ms: float
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float


def metrics_text(
    counters: Iterable[CounterValue],
    latencies: Sequence[LatencySample],
    gauges: Iterable[Gauge],
) -> str:
    """Return counters, latencies and gauges in the Prometheus text format."""
    lines: list[str] = []
    for kind, values in groupby(counters, key=lambda counter: counter.kind):
        name = f"{kind.value}_total"
        lines += _header_lines(name, COUNTER_HELP[kind], "counter")
        lines += [
            _sample_line(name, value.value, MetricLabel("reason", value.reason))
            for value in values
        ]
    if latencies:
        lines += _header_lines(_LATENCY, _LATENCY_HELP, "summary")
        lines += [line for sample in latencies for line in _latency_lines(sample)]
    for gauge in gauges:
        lines += _header_lines(gauge.name, gauge.help_text, "gauge")
        lines.append(_sample_line(gauge.name, gauge.value))
    return "\n".join([*lines, ""])


def _header_lines(name: str, help_text: str, kind: str) -> list[str]:
    return [f"# HELP {_PREFIX}{name} {help_text}", f"# TYPE {_PREFIX}{name} {kind}"]


def _latency_lines(sample: LatencySample) -> list[str]:
    labels = sample.labels
    quantiles = {
        "0.5": sample.p50_ms,
        "0.9": sample.p90_ms,
        "0.99": sample.p99_ms,
        "0.999": sample.p999_ms,
    }
    return [
        *(
            _sample_line(
                _LATENCY, duration_ms, *labels, MetricLabel("quantile", quantile)
            )
            for quantile, duration_ms in quantiles.items()
        ),
        _sample_line(f"{_LATENCY}_sum", sample.sum_ms, *labels),
        _sample_line(f"{_LATENCY}_count", sample.count, *labels),
    ]


def _sample_line(name: str, value: float, *labels: MetricLabel) -> str:
    label_text = ",".join(f'{label.name}="{_escape(label.value)}"' for label in labels)
    return (
        f"{_PREFIX}{name}{{{label_text}}} {value}"
        if labels
        else _unlabelled_line(name, value)
    )


def _unlabelled_line(name: str, value: float) -> str:
    return f"{_PREFIX}{name} {value}"


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
