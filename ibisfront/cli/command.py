"""Base classes of the commands: client options, output and exit codes."""

from __future__ import annotations

import os
from contextlib import ExitStack, closing
from pathlib import Path
from typing import TYPE_CHECKING, ClassVar

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option

from ibisfront.cli.client import InstanceClient
from ibisfront.cli.exits import CommandError, ExitCode, ProblemError
from ibisfront.core.settings import SettingsError, read_settings

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

    from ibisfront.cli.client import AdminClient
    from ibisfront.core.settings import Settings

__all__ = ["JSON_OPTION", "OperatorCommand", "ToolCommand"]

ADMIN_VARIABLE = "IBISFRONT_ADMIN"
TOKEN_VARIABLE = "IBISFRONT_TOKEN"

JSON_OPTION = option("json", None, "Print JSON instead of text.")
SETTINGS_OPTION = option(
    "settings",
    None,
    "Read addresses and token from an instance's settings file.",
    flag=False,
)
_ADMIN_OPTIONS = (
    option(
        "admin",
        None,
        f"Operator address of an instance, IP:PORT (or ${ADMIN_VARIABLE});"
        " several are tried in order.",
        flag=False,
        multiple=True,
    ),
    option(
        "token-file",
        None,
        f"File that contains the token (or the token in ${TOKEN_VARIABLE}).",
        flag=False,
    ),
    SETTINGS_OPTION,
    JSON_OPTION,
)


class ToolCommand(Command):
    """Command that prints text or JSON and returns an :class:`ExitCode`."""

    arguments: ClassVar[list[Argument]] = []
    options: ClassVar[list[Option]] = [JSON_OPTION]

    def handle(self) -> int:
        """Run the command; called by ``cleo``."""
        try:
            return self.run_command()
        except CommandError as error:
            self.show_error(error)
            return error.exit_code

    def run_command(self) -> ExitCode:
        """Do the command's work.

        Raises
        ------
        CommandError
            If the command fails.
        """
        raise NotImplementedError

    @property
    def wants_json(self) -> bool:
        """Whether to print JSON."""
        return bool(self.option("json"))

    def print_json(self, value: object) -> None:
        """Print a value as JSON."""
        encoded = msgspec.json.format(msgspec.json.encode(value), indent=2)
        self.print_text(encoded.decode())

    def print_text(self, text: str) -> None:
        """Print a line verbatim, escaping ``<``, which ``cleo`` reads as a style."""
        self.line(text.replace("<", "\\<"))

    def show_error(self, error: CommandError) -> None:
        """Print why the command failed."""
        if self.wants_json and isinstance(error, ProblemError):
            self.print_json(error.problem)
        self.line_error(f"ibisfront: {error}".replace("<", "\\<"))
        if isinstance(error, ProblemError):
            self.line_error(f"what to do: {error.advice}".replace("<", "\\<"))

    def optional_settings(self) -> Settings | None:
        """Return the settings given by ``--settings``, or None without the option."""
        path = self.option("settings")
        if path is None:
            return None
        try:
            return read_settings(Path(path))
        except SettingsError as error:
            raise CommandError(error.detail) from error


class OperatorCommand(ToolCommand):
    """Command that calls the operator listener of an instance."""

    operator_options: ClassVar[list[Option]] = list(_ADMIN_OPTIONS)
    options: ClassVar[list[Option]] = operator_options

    def run_command(self) -> ExitCode:
        """Run the command with a client."""
        with ExitStack() as stack:
            return self.run_with(self._open_client(stack))

    def run_with(self, client: AdminClient) -> ExitCode:
        """Do the command's work; raises ``CommandError`` if it fails."""
        raise NotImplementedError

    def _open_client(self, stack: ExitStack) -> AdminClient:
        settings = self.optional_settings()
        headers = {"Authorization": f"Bearer {self._token(settings)}"}
        client = InstanceClient(self._addresses(settings), headers)
        return stack.enter_context(closing(client))

    def _addresses(self, settings: Settings | None) -> list[str]:
        given = self.option("admin") or []
        if not given and settings is not None:
            return [settings.admin.address]
        if not given:
            given = os.environ.get(ADMIN_VARIABLE, "").replace(",", " ").split()
        if not given:
            raise CommandError(
                "no instance address: give --admin IP:PORT, --settings FILE or"
                f" ${ADMIN_VARIABLE}"
            )
        return list(given)

    def _token(self, settings: Settings | None) -> str:
        path = self.option("token-file")
        if path is not None:
            return _read_token(Path(path))
        if settings is not None:
            return settings.admin.token
        token = os.environ.get(TOKEN_VARIABLE, "")
        if not token:
            raise CommandError(
                "no token: give --token-file FILE, --settings FILE or"
                f" ${TOKEN_VARIABLE}"
            )
        return token


def _read_token(path: Path) -> str:
    try:
        return path.read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(f"{path} cannot be read ({error})") from error
