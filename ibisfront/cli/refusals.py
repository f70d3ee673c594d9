"""What decided a refusal for lack of room, in one sentence."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisfront.cli.log_lines import LogLine

__all__ = ["describe_refusal", "refusal_cause"]


def describe_refusal(line: LogLine) -> str | None:
    """Return why a request was refused for lack of room; None for other lines."""
    fields = line.fields
    if "expected_wait_ms" not in fields:
        return None
    wait_ms = fields["expected_wait_ms"]
    room = "no usable server" if wait_ms is None else f"room in {wait_ms} ms"
    left_ms = fields.get("left_ms")
    left = "no deadline" if left_ms is None else f"{left_ms} ms left"
    workspace = fields.get("workspace")
    whose = f" of workspace {workspace}" if workspace else ""
    return (
        f"refused after {fields.get('waited_ms')} ms: {room},"
        f" {fields.get('ahead')} ahead of rank {fields.get('rank')}{whose}, {left};"
        f" told to come back in {fields.get('retry_after_ms')} ms"
    )


def refusal_cause(line: LogLine) -> str:
    """Return the rank and the kind of a refusal for lack of room, in parentheses."""
    fields = line.fields
    if "expected_wait_ms" not in fields:
        return ""
    if fields["expected_wait_ms"] is None:
        return f" (rank {fields.get('rank')}, no usable server)"
    return f" (rank {fields.get('rank')}, expected wait too long)"
