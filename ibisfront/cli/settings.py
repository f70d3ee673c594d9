"""``ibisfront check-settings``: find every fault of a settings file."""

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


class _Checked(msgspec.Struct, frozen=True):
    """What came of a check."""

    file: str
    faults: tuple[SettingsFault, ...]


class CheckSettings(ToolCommand):
    """Check a settings file."""

    name = "check-settings"
    description = "Check a settings file as ibisfrontd does, and list every fault."
    arguments: ClassVar[list[Argument]] = [
        argument("file", "The TOML file.", optional=True)
    ]
    options: ClassVar[list[Option]] = [
        option("reference", None, "Print what may be set, in place of a check."),
        JSON_OPTION,
    ]

    def run_command(self) -> ExitCode:
        """Check the file."""
        if self.option("reference"):
            self.print_text(settings_reference().rstrip())
            return ExitCode.DONE
        given = self.argument("file")
        if given is None:
            raise CommandError("name the file to check, or give --reference")
        checked = _check(given)
        if self.wants_json:
            self.print_json(checked)
        elif not checked.faults:
            self.print_text(f"{given} is good")
        else:
            for fault in checked.faults:
                self.print_text(str(fault))
        return ExitCode.USAGE if checked.faults else ExitCode.DONE


def _check(file: str) -> _Checked:
    try:
        read_settings(Path(file))
    except SettingsError as error:
        return _Checked(file, error.faults)
    return _Checked(file, ())
