"""Exit codes of the commands, and the errors that map to them."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

from ibisfront.core.error_advice import ADVICE
from ibisfront.core.errors import ErrorKind

if TYPE_CHECKING:
    from ibisfront.adapters.http import Problem

__all__ = [
    "CommandError",
    "ExitCode",
    "ProblemError",
    "UnreachableError",
    "exit_code_help",
]


class ExitCode(IntEnum):
    """Exit codes of the commands."""

    DONE = 0
    REJECTED = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4
    PARTIAL = 5
    UNREACHABLE = 6


_DESCRIPTIONS = {
    ExitCode.DONE: "done",
    ExitCode.REJECTED: "rejected; nothing was done",
    ExitCode.USAGE: "invalid arguments, settings or file",
    ExitCode.CONFLICT: "conflict with an earlier edit; nothing was done",
    ExitCode.UNKNOWN: "may have been done: check before retrying",
    ExitCode.PARTIAL: "done, but some instances or services are missing",
    ExitCode.UNREACHABLE: "no instance was reachable; nothing was done",
}


def exit_code_help() -> str:
    """Return the description of each exit code, one per line."""
    return "\n".join(f"  {code.value}  {text}" for code, text in _DESCRIPTIONS.items())


class CommandError(Exception):
    """Raised when a command fails.

    Parameters
    ----------
    message : str
        The error and its remedy.
    exit_code : ExitCode, optional
        Exit code of the command.
    """

    def __init__(self, message: str, exit_code: ExitCode = ExitCode.USAGE) -> None:
        super().__init__(message)
        self.exit_code = exit_code


class UnreachableError(CommandError):
    """Raised when no instance replied.

    Parameters
    ----------
    message : str
        Error message with the addresses tried.
    maybe_sent : bool
        Whether an instance may have received the request.
    """

    def __init__(self, message: str, *, maybe_sent: bool) -> None:
        code = ExitCode.UNKNOWN if maybe_sent else ExitCode.UNREACHABLE
        super().__init__(message, code)


class ProblemError(CommandError):
    """Raised when an instance replied with a problem document.

    Parameters
    ----------
    problem : Problem
        The problem document.
    """

    def __init__(self, problem: Problem) -> None:
        codes = {"table_conflict": ExitCode.CONFLICT, "no": ExitCode.REJECTED}
        code = codes.get(problem.code, codes.get(problem.ran, ExitCode.UNKNOWN))
        super().__init__(f"{problem.code}: {problem.detail}", code)
        self.problem = problem

    @property
    def advice(self) -> str:
        """Advice for the operator."""
        try:
            return ADVICE[ErrorKind(self.problem.code)].operator
        except ValueError:
            return "update this tool: it does not support this kind of error"
