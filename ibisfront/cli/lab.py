"""``ibisfront lab``: runs load patterns in virtual time and compares results."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, ClassVar

import msgspec
from cleo.helpers import argument, option

from ibisfront.cli.command import JSON_OPTION, ToolCommand
from ibisfront.cli.exits import CommandError, ExitCode

if TYPE_CHECKING:
    from collections.abc import Iterable
    from types import ModuleType

    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

    from ibisfront.lab import RunResult

__all__ = ["LabCompare", "LabRun", "parse_seeds"]


class LabRun(ToolCommand):
    """Runs load patterns against a simulated deployment in virtual time."""

    name = "lab run"
    description = "Run load patterns against a simulated deployment in virtual time."
    arguments: ClassVar[list[Argument]] = [
        argument(
            "patterns",
            "Pattern files, or names of bundled patterns.",
            multiple=True,
        ),
    ]
    options: ClassVar[list[Option]] = [
        option(
            "seeds",
            None,
            "A seed or a range of seeds, such as 7 or 1-20.",
            flag=False,
            default="1",
        ),
        JSON_OPTION,
    ]

    def run_command(self) -> ExitCode:
        """Run each pattern with each seed, and print the results."""
        lab = _import_lab()
        seeds = parse_seeds(self.option("seeds"))
        patterns = [_read_pattern(lab, name) for name in self.argument("patterns")]
        for pattern in patterns:
            for seed in seeds:
                result = lab.run_pattern(pattern, seed=seed)
                if self.wants_json:
                    self.print_text(msgspec.json.encode(result).decode())
                else:
                    self._print_result(result)
        return ExitCode.DONE

    def _print_result(self, result: RunResult) -> None:
        self.print_text(
            f"{result.title}, seed {result.seed}: worth {result.worth:.3f},"
            f" unserved {result.unserved:.2%}, extra {result.extra:.1%},"
            f" shed {result.shed}"
        )
        for name, summary in result.queries.items():
            outcomes = ", ".join(
                f"{count} {outcome}" for outcome, count in summary.outcomes.items()
            )
            self.print_text(
                f"  {name}: worth {summary.worth:.3f}, p50 {summary.p50_ms:g} ms,"
                f" p99 {summary.p99_ms:g} ms; {outcomes}"
            )
        for item in result.seconds:
            outcomes = ", ".join(
                f"{count} {outcome}" for outcome, count in item.outcomes.items()
            )
            self.print_text(f"  {item.second:4} s  {outcomes}")


class LabCompare(ToolCommand):
    """Compares two files of runs, paired by seed."""

    name = "lab compare"
    description = "Compare two files of runs (of lab run --json), paired by seed."
    arguments: ClassVar[list[Argument]] = [
        argument("before", "Runs before a change."),
        argument("after", "Runs after the change."),
    ]
    options: ClassVar[list[Option]] = [JSON_OPTION]

    def run_command(self) -> ExitCode:
        """Compare the runs and print the differences."""
        lab = _import_lab()
        before, after = (
            _read_runs(lab, self.argument(name)) for name in ("before", "after")
        )
        try:
            comparisons = lab.compare(before, after)
        except lab.PatternError as error:
            raise CommandError(str(error)) from error
        if self.wants_json:
            self.print_json(comparisons)
            return ExitCode.DONE
        for item in comparisons:
            self.print_text(
                f"{item.title}: {item.before:.4f} to {item.after:.4f}, {item.verdict}"
                f" ({item.low:+.4f} to {item.high:+.4f}, {item.pairs} seeds)"
            )
        return ExitCode.DONE


def parse_seeds(text: str) -> range:
    """Parse the value of ``--seeds``.

    Raises
    ------
    CommandError
        If it is neither a number nor a non-empty range.
    """
    first, _, last = text.partition("-")
    if not first.isdigit() or (last and not last.isdigit()):
        raise CommandError(f"--seeds {text}: give a number, or a range such as 1-20")
    seeds = range(int(first), int(last or first) + 1)
    if not seeds:
        raise CommandError(f"--seeds {text}: the end is below the start")
    return seeds


def _import_lab() -> ModuleType:
    """Import the simulation, which needs packages that instances do not.

    Raises
    ------
    CommandError
        If one of these packages is not installed.
    """
    try:
        import ibisfront.lab
    except ImportError as error:
        raise CommandError(f"{error}: install ibisfront[lab]") from error
    return ibisfront.lab


def _read_pattern(lab: ModuleType, name: str) -> object:
    path = Path(name)
    if not path.suffix:
        path = Path(str(lab.__file__)).parent / "patterns" / f"{name}.toml"
    try:
        return lab.read_pattern(path)
    except lab.PatternError as error:
        raise CommandError(str(error)) from error


def _read_runs(lab: ModuleType, name: str) -> list[RunResult]:
    """Read runs from a file of JSON lines."""
    try:
        lines: Iterable[str] = Path(name).read_text().splitlines()
        return [msgspec.json.decode(line, type=lab.RunResult) for line in lines]
    except (OSError, msgspec.DecodeError) as error:
        raise CommandError(f"{name}: {error}") from error
