"""``ibisfront counters``: counters and latencies of an instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ibisfront.cli.command import OperatorCommand
from ibisfront.cli.exits import ExitCode
from ibisfront.cli.output import format_columns
from ibisfront.core.counters import CounterValue
from ibisfront.core.latencies import LatencyValue

if TYPE_CHECKING:
    from ibisfront.cli.client import AdminClient

__all__ = ["ShowCounters"]


class _Metrics(msgspec.Struct, frozen=True):
    """Counters and latencies of one instance."""

    counters: tuple[CounterValue, ...]
    latencies: tuple[LatencyValue, ...]


class ShowCounters(OperatorCommand):
    """Shows the counters and latencies of one instance."""

    name = "counters"
    description = "Show the counters and latencies of one instance since its start."

    def run_with(self, client: AdminClient) -> ExitCode:
        """Print counters and latencies."""
        metrics = _Metrics(
            client.call("GET", "/v1/admin/counters", tuple[CounterValue, ...]),
            client.call("GET", "/v1/admin/latency", tuple[LatencyValue, ...]),
        )
        if self.wants_json:
            self.print_json(metrics)
            return ExitCode.DONE
        for line in (*_counter_lines(metrics), "", *_latency_lines(metrics)):
            self.print_text(line)
        return ExitCode.DONE


def _counter_lines(metrics: _Metrics) -> list[str]:
    rows = [(item.kind.value, item.reason, item.value) for item in metrics.counters]
    return format_columns(("COUNTER", "REASON", "VALUE"), rows)


def _latency_lines(metrics: _Metrics) -> list[str]:
    headings = ("BRANCH", "PURPOSE", "COUNT", "P50 MS", "P90 MS", "P99 MS", "P99.9 MS")
    return format_columns(
        headings,
        [
            (
                item.branch,
                item.purpose,
                item.count,
                f"{item.p50_ms:.1f}",
                f"{item.p90_ms:.1f}",
                f"{item.p99_ms:.1f}",
                f"{item.p999_ms:.1f}",
            )
            for item in metrics.latencies
        ],
    )
