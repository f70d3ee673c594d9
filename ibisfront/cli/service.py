"""``ibisfront service``: shows and edits the backend servers of services."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar
from urllib.parse import quote

import msgspec
from cleo.helpers import argument

from ibisfront.adapters.admin import NamedService
from ibisfront.cli.command import OperatorCommand
from ibisfront.cli.edit_command import EditCommand
from ibisfront.cli.exits import ExitCode
from ibisfront.cli.output import format_columns
from ibisfront.cli.table_edits import Propagation, wait_until_in_force
from ibisfront.core.service import BackendServer
from ibisfront.core.service_edit import ServiceEdited

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument

    from ibisfront.cli.client import AdminClient

__all__ = ["ServiceAdd", "ServiceDrain", "ServiceList", "ServiceRemove"]

_PATH = "/v1/admin/services"
_SERVICE = argument("service", "The service.")
_SERVER = argument("server", "The name of the backend server.")


class _Outcome(msgspec.Struct, frozen=True):
    """A service after an edit, and where the edit is in force."""

    edited: ServiceEdited
    reach: Propagation


class ServiceList(OperatorCommand):
    """Shows the services."""

    name = "service list"
    description = "Show the services and their backend servers."

    def run_with(self, client: AdminClient) -> ExitCode:
        """Print the services."""
        services = client.call("GET", _PATH, tuple[NamedService, ...])
        if self.wants_json:
            self.print_json(services)
            return ExitCode.DONE
        lines = format_columns(
            ("SERVICE", "SERVER", "ADDRESS", "ZONE", "STATE"),
            [
                (item.name, server.name, server.address, server.zone, server.state)
                for item in services
                for server in item.service.backend_servers
            ],
        )
        for line in lines:
            self.print_text(line)
        return ExitCode.DONE


class _ServiceEditCommand(EditCommand):
    """Command that edits one service."""

    def run_with(self, client: AdminClient) -> ExitCode:
        """Make the edit and wait until it is in force everywhere."""
        edited = self.edit(client, self._servers_path())
        propagation = wait_until_in_force(
            client, lambda reply: reply.revision >= edited.version, wait_s=self.wait_s
        )
        if self.wants_json:
            self.print_json(_Outcome(edited, propagation))
        else:
            self.print_text(f"accepted: {edited.name} is at version {edited.version}")
        return self.show_propagation(propagation)

    def edit(self, client: AdminClient, path: str) -> ServiceEdited:
        """Make the edit; ``path`` is the path of the service's servers."""
        raise NotImplementedError

    def server_path(self, path: str) -> str:
        """Return the path of the server given to the command."""
        return f"{path}/{quote(self.argument('server'), safe='')}"

    def _servers_path(self) -> str:
        return f"{_PATH}/{quote(self.argument('service'), safe='')}/servers"


class ServiceAdd(_ServiceEditCommand):
    """Adds a backend server."""

    name = "service add"
    description = "Add a backend server to a service, or change its entry."
    arguments: ClassVar[list[Argument]] = [
        _SERVICE,
        _SERVER,
        argument("address", "Its IP:PORT."),
        argument("zone", "Its availability zone."),
    ]

    def edit(self, client: AdminClient, path: str) -> ServiceEdited:
        """Add the server."""
        server = BackendServer(
            name=self.argument("server"),
            address=self.argument("address"),
            zone=self.argument("zone"),
        )
        return client.call("POST", path, ServiceEdited, server)


class ServiceDrain(_ServiceEditCommand):
    """Drains a backend server."""

    name = "service drain"
    description = "Stop sending new work to a backend server; running work continues."
    arguments: ClassVar[list[Argument]] = [_SERVICE, _SERVER]

    def edit(self, client: AdminClient, path: str) -> ServiceEdited:
        """Drain the server."""
        return client.call("POST", f"{self.server_path(path)}/drain", ServiceEdited)


class ServiceRemove(_ServiceEditCommand):
    """Removes a backend server."""

    name = "service remove"
    description = "Remove a backend server from a service; drain it first."
    arguments: ClassVar[list[Argument]] = [_SERVICE, _SERVER]

    def edit(self, client: AdminClient, path: str) -> ServiceEdited:
        """Remove the server."""
        return client.call("DELETE", self.server_path(path), ServiceEdited)
