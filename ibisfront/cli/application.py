"""Command line application: registers and runs the commands."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

import ibisfront
from ibisfront.cli.causes import Causes
from ibisfront.cli.counters import ShowCounters
from ibisfront.cli.exits import ExitCode, exit_code_help
from ibisfront.cli.explain import Explain
from ibisfront.cli.lab import LabCompare, LabRun
from ibisfront.cli.purpose import PurposeRemove, PurposeSet
from ibisfront.cli.query import Query
from ibisfront.cli.service import ServiceAdd, ServiceDrain, ServiceList, ServiceRemove
from ibisfront.cli.settings import CheckSettings
from ibisfront.cli.status import Status
from ibisfront.cli.table import (
    TableApply,
    TableExport,
    TableHistory,
    TableRemove,
    TableSet,
    TableShow,
)

if TYPE_CHECKING:
    from ibisfront.cli.command import ToolCommand

__all__ = ["build_application", "main"]

_COMMANDS: tuple[type[ToolCommand], ...] = (
    Causes,
    CheckSettings,
    Explain,
    LabCompare,
    LabRun,
    PurposeRemove,
    PurposeSet,
    Query,
    ServiceAdd,
    ServiceDrain,
    ServiceList,
    ServiceRemove,
    ShowCounters,
    Status,
    TableApply,
    TableExport,
    TableHistory,
    TableRemove,
    TableSet,
    TableShow,
)
_HELP = f"""
Every command describes its arguments with --help and prints JSON with --json.

Give the instances with --admin IP:PORT and --token-file FILE, IBISFRONT_ADMIN and
IBISFRONT_TOKEN, or --settings FILE of an instance. Examples:

  ibisfront status --settings instance.toml
  ibisfront table show --settings instance.toml
  ibisfront table set vestry name-check --weight 2 --settings instance.toml

An edit names the version that it is based on. It is reported as accepted only
once this is certain; the tool then reports where it is in force.

Exit codes:
{exit_code_help()}

Completion: ibisfront completions bash|zsh|fish"""


class _IbisfrontApplication(Application):
    """The command line application, with an introductory help text."""

    @property
    def help(self) -> str:
        """Text that ``ibisfront --help`` prints above the commands."""
        return f"{self.long_version}\n{_HELP}"


def build_application() -> Application:
    """Return the application with all commands registered."""
    application = _IbisfrontApplication("ibisfront", ibisfront.__version__)
    for command in _COMMANDS:
        application.add(command())
    return application


def _expand_help_option(argv: list[str]) -> list[str]:
    """Return the arguments without a lone ``--help``, so that commands are listed.

    ``cleo`` would print the help of its own ``list`` command instead.
    """
    return argv[:1] if argv[1:] in (["--help"], ["-h"]) else argv


def main() -> None:
    """Run ``ibisfront``."""
    application = build_application()
    application.auto_exits(False)
    application.catch_exceptions(False)
    try:
        sys.exit(application.run(ArgvInput(_expand_help_option(sys.argv))))
    except CleoError as error:
        sys.stderr.write(f"ibisfront: {error}\n")
        sys.exit(ExitCode.USAGE)
