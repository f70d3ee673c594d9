"""``ibisfront check-settings``: reports every error in a settings file."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, ClassVar

import msgspec
from cleo.helpers import argument, option

from ibisfront.cli.command import JSON_OPTION, ToolCommand
from ibisfront.cli.exits import CommandError, ExitCode
from ibisfront.core.settings import SettingsError, read_settings
from ibisfront.core.settings_check import SettingsFault
from ibisfront.core.settings_reference import settings_reference

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

__all__ = ["CheckSettings"]


class _CheckResult(msgspec.Struct, frozen=True):
    """Result of a check."""

    file: str
    faults: tuple[SettingsFault, ...]


class CheckSettings(ToolCommand):
    """Checks a settings file."""

    name = "check-settings"
    description = "Check a settings file as ibisfrontd does, and list every error."
    arguments: ClassVar[list[Argument]] = [
        argument("file", "The TOML file.", optional=True)
    ]
    options: ClassVar[list[Option]] = [
        option(
            "reference",
            None,
            "Print the settings reference instead of checking a file.",
        ),
        JSON_OPTION,
    ]

    def run_command(self) -> ExitCode:
        """Check the file."""
        if self.option("reference"):
            self.print_text(settings_reference().rstrip())
            return ExitCode.DONE
        given = self.argument("file")
        if given is None:
            raise CommandError("no file: give a file to check, or --reference")
        result = _check(given)
        if self.wants_json:
            self.print_json(result)
        elif not result.faults:
            self.print_text(f"{given} is valid")
        else:
            for fault in result.faults:
                self.print_text(str(fault))
        return ExitCode.USAGE if result.faults else ExitCode.DONE


def _check(file: str) -> _CheckResult:
    try:
        read_settings(Path(file))
    except SettingsError as error:
        return _CheckResult(file, error.faults)
    return _CheckResult(file, ())
