"""How the commands end: exit codes, and the errors that lead to them."""

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
    "RefusedError",
    "UnreachableError",
    "exit_code_help",
]


class ExitCode(IntEnum):
    """What a command's exit code says."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4
    IN_PART = 5
    UNREACHABLE = 6


_MEANINGS = {
    ExitCode.DONE: "done",
    ExitCode.REFUSED: "refused; nothing was done",
    ExitCode.USAGE: "wrong use, or wrong settings or file",
    ExitCode.CONFLICT: "another edit came first; nothing was done",
    ExitCode.UNKNOWN: "may have been done: look before you repeat it",
    ExitCode.IN_PART: "done, but some instances or services are missing",
    ExitCode.UNREACHABLE: "no instance could be reached; nothing was done",
}


def exit_code_help() -> str:
    """Return a line for each exit code."""
    return "\n".join(f"  {code.value}  {text}" for code, text in _MEANINGS.items())


class CommandError(Exception):
    """A command that cannot go on.

    Parameters
    ----------
    message : str
        What is wrong, and the cure.
    exit_code : ExitCode, optional
        How the command ends.
    """

    def __init__(self, message: str, exit_code: ExitCode = ExitCode.USAGE) -> None:
        super().__init__(message)
        self.exit_code = exit_code


class UnreachableError(CommandError):
    """No instance answered.

    Parameters
    ----------
    message : str
        Whom the command tried.
    sent : bool
        Whether some instance may have had the request.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        code = ExitCode.UNKNOWN if sent else ExitCode.UNREACHABLE
        super().__init__(message, code)


class RefusedError(CommandError):
    """An instance answered with a problem.

    Parameters
    ----------
    problem : Problem
        Its problem document.
    """

    def __init__(self, problem: Problem) -> None:
        codes = {"table_conflict": ExitCode.CONFLICT, "no": ExitCode.REFUSED}
        code = codes.get(problem.code, codes.get(problem.ran, ExitCode.UNKNOWN))
        super().__init__(f"{problem.code}: {problem.detail}", code)
        self.problem = problem

    @property
    def advice(self) -> str:
        """What an operator can do about it."""
        try:
            return ADVICE[ErrorKind(self.problem.code)].operator
        except ValueError:
            return "update this tool: the instance knows more kinds of errors"
