"""A whole deployment on the local machine: fakes and entry instances.

Used by the demo, the benchmarks and the tests with real processes. The fake
platform, each service's fake backend servers and each instance are separate
processes.
"""

from __future__ import annotations

import itertools
import signal
import tempfile
from contextlib import AsyncExitStack, closing
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
import tomli_w
import trio

from ibisfront.core.service import BackendServer, Service
from ibisfront.core.snapshot import Index, Snapshot
from ibisfront.core.table import TABLE_NAME
from ibisfront.testing.backend_types import BackendState, PerformRun
from ibisfront.testing.deployment_shape import (
    DeploymentShape,
    IndexShape,
    ServiceShape,
    register_shape,
)
from ibisfront.testing.http_client import HttpClient, HttpReply
from ibisfront.testing.processes import (
    CONTROL,
    LISTENING,
    LOOPBACK,
    RunningProcess,
    address_of,
    reserve_address,
)
from ibisfront.testing.relay import Partition, Partitions, RelayAddress, RelayTarget

if TYPE_CHECKING:
    from collections.abc import Iterator
    from types import TracebackType

__all__ = [
    "ADMIN_TOKEN",
    "Deployment",
    "DeploymentShape",
    "IndexShape",
    "InstanceProcess",
    "ServiceShape",
    "register_shape",
]

PLATFORM_LOCATION = "platform"
"""Location of the platform in a partition."""

ADMIN_TOKEN = "token-of-the-test-deployment"
_RELAY_PROCESSES = 4
_READY_TIMEOUT_S = 20.0
_READY_POLL_S = 0.05


class InstanceProcess(msgspec.Struct):
    """One running entry instance and its addresses."""

    name: str
    zone: str
    caller_address: str
    admin_address: str
    peer_address: str
    listening_peer_address: str
    process: RunningProcess

    def url(self, path: str) -> str:
        """Return a URL on the callers' listener."""
        return f"http://{self.caller_address}{path}"

    def admin_url(self, path: str) -> str:
        """Return a URL on the operators' listener."""
        return f"http://{self.admin_address}{path}"


class Deployment:
    """Runs a deployment while its context is active.

    Parameters
    ----------
    shape : DeploymentShape
        The processes and objects to start.
    """

    def __init__(self, shape: DeploymentShape) -> None:
        self.shape = shape
        self.client = HttpClient()
        self.instances: list[InstanceProcess] = []
        self.backend_processes: dict[str, RunningProcess] = {}
        self.backend_servers: dict[str, tuple[BackendServer, ...]] = {}
        self.backend_controls: dict[str, str] = {}
        self.platform_address = ""
        self.platform_control = ""
        self._platform_relay_address = ""
        self.relay_controls: list[str] = []
        self._next_relay: Iterator[str] = iter(())
        self.folder = Path()
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Deployment:
        """Start everything; every instance is ready on return."""
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self.client.aclose)
            self.folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            self._stack = stack
            await self._start_relays()
            await self._start_platform()
            async with trio.open_nursery() as nursery:
                for service in self.shape.services:
                    nursery.start_soon(self._start_service, service)
            await self._publish_objects()
            async with trio.open_nursery() as nursery:
                for number in range(self.shape.instances):
                    nursery.start_soon(self.start_instance, f"i{number + 1}")
            self.instances.sort(key=lambda instance: instance.name)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End every process."""
        await self._stack.aclose()

    async def search(
        self, instance: InstanceProcess, branch: str, purpose: str, body: object
    ) -> HttpReply:
        """Send one search as a caller."""
        path = f"/v1/branches/{branch}/purposes/{purpose}/query"
        return await self.client.send("POST", instance.url(path), body=body)

    async def perform(
        self,
        instance: InstanceProcess,
        branch: str,
        purpose: str,
        body: object,
        *,
        key: str,
    ) -> HttpReply:
        """Send one non-idempotent request as a caller."""
        path = f"/v1/branches/{branch}/purposes/{purpose}/perform"
        return await self.client.send(
            "POST", instance.url(path), body=body, headers={"Idempotency-Key": key}
        )

    async def admin(
        self, instance: InstanceProcess, method: str, path: str, body: object = None
    ) -> HttpReply:
        """Send one request as an operator."""
        headers = {"Authorization": f"Bearer {ADMIN_TOKEN}"}
        url = instance.admin_url(path)
        return await self.client.send(method, url, body=body, headers=headers)

    async def put_object(self, kind: str, name: str, value: object) -> None:
        """Create or replace an object on the platform."""
        url = f"http://{self.platform_address}/objects/{kind}/{name}"
        existing = await self.client.send("GET", url)
        headers = {"If-None-Match": "*"}
        if existing.status == 200:
            version = existing.decode(_ObjectVersion).version
            headers = {"If-Match": f'"{version}"'}
        reply = await self.client.send("PUT", url, body=value, headers=headers)
        if reply.status != 200:
            raise RuntimeError(f"PUT {url}: {reply.status} {reply.body!r}")

    async def set_platform_faults(self, **faults: object) -> None:
        """Update fields of the fake platform's ``PlatformFaults``."""
        await self._post(f"http://{self.platform_control}/control/faults", faults)

    async def command_backend(
        self, server: str, command: str, **fields: object
    ) -> None:
        """Send a command to the control API of a fake backend server.

        Parameters
        ----------
        server : str
            The server's name, such as ``register-00-1``.
        command : str
            ``faults``, ``snapshots``, ``silence``, ``reset``, ``crash`` or
            ``restart``.
        **fields
            The command's body.
        """
        control = self.backend_controls[server.rpartition("-")[0]]
        await self._post(f"http://{control}/control/servers/{server}/{command}", fields)

    async def backend_states(self) -> list[BackendState]:
        """Return the state of every fake backend server."""
        states: list[BackendState] = []
        for control in self.backend_controls.values():
            reply = await self.client.send("GET", f"http://{control}/control/servers")
            states.extend(report.state for report in reply.decode(list[_ServerReport]))
        return states

    async def performed(self, server: str) -> list[PerformRun]:
        """Return every run of a perform request at a backend server."""
        control = self.backend_controls[server.rpartition("-")[0]]
        url = f"http://{control}/control/servers/{server}/runs"
        reply = await self.client.send("GET", url)
        return reply.decode(_RunReport).performed

    async def start_instance(
        self, name: str, *, predecessor: InstanceProcess | None = None
    ) -> InstanceProcess:
        """Start one more entry instance and wait until it is ready.

        Parameters
        ----------
        name : str
            ``i1``, ``i2`` and so on; the number decides the zone.
        predecessor : InstanceProcess, optional
            A stopped instance whose addresses the new one reuses.
        """
        number = int(name.removeprefix("i")) - 1
        zone = self.shape.zones[number % len(self.shape.zones)]
        if predecessor is None:
            host = self.ip_of_zone(zone)
            caller, admin, peer = (self._reserve(host) for _ in range(3))
            advertised = await self._open_relay(peer, host)
        else:
            caller, admin = predecessor.caller_address, predecessor.admin_address
            peer, advertised = (
                predecessor.listening_peer_address,
                predecessor.peer_address,
            )
        settings = self._settings(name, zone, caller, admin)
        settings["peers"] = {"address": peer}
        if advertised != peer:
            settings["peers"]["advertised_address"] = advertised
            settings["instance"]["outgoing_ip"] = self.ip_of_zone(zone)
        path = self.folder / f"{name}.toml"
        path.write_text(tomli_w.dumps(settings) + "\n" + self.shape.settings_text)
        process = await self._stack.enter_async_context(
            RunningProcess(
                ["-m", "ibisfront.daemon", "--settings", str(path)],
                log_path=str(self.folder / f"{name}.log"),
            )
        )
        instance = InstanceProcess(name, zone, caller, admin, advertised, peer, process)
        self.instances.append(instance)
        await self.publish_instances()
        await self.wait_ready(instance)
        return instance

    async def stop_instance(self, instance: InstanceProcess) -> int:
        """Stop an instance with SIGTERM and return its exit code."""
        instance.process.send(signal.SIGTERM)
        exit_code = await instance.process.wait()
        self.instances.remove(instance)
        await self.publish_instances()
        return exit_code

    async def replace_instance(self, instance: InstanceProcess) -> InstanceProcess:
        """Stop an instance and start one with the same name and addresses."""
        await self.stop_instance(instance)
        return await self.start_instance(instance.name, predecessor=instance)

    def ip_of_zone(self, zone: str) -> str:
        """Return the IP from which a zone's instances connect."""
        if not self.shape.relayed:
            return LOOPBACK
        return f"127.0.{self.shape.zones.index(zone) + 1}.1"

    async def partition_zone(self, zone: str, *, platform: bool = True) -> None:
        """Partition a zone from the other zones and, by default, the platform."""
        others = [self.ip_of_zone(other) for other in self.shape.zones if other != zone]
        if platform:
            others.append(PLATFORM_LOCATION)
        partitions = tuple(Partition(self.ip_of_zone(zone), other) for other in others)
        await self._set_partitions(Partitions(partitions))

    async def heal_partitions(self) -> None:
        """Heal all partitions."""
        await self._set_partitions(Partitions())

    async def _set_partitions(self, partitions: Partitions) -> None:
        async with trio.open_nursery() as nursery:
            for control in self.relay_controls:
                url = f"http://{control}/control/cuts"
                nursery.start_soon(self._post, url, partitions)

    async def publish_instances(self) -> None:
        """Publish the running instances to the fake platform."""
        entries = [
            _InstanceEntry(
                instance.name,
                instance.zone,
                instance.peer_address,
                instance.admin_address,
            )
            for instance in self.instances
            if instance.process.exit_code is None
        ]
        url = f"http://{self.platform_control}/control/instances"
        await self._post(url, _InstanceEntries(entries))

    async def wait_ready(self, instance: InstanceProcess) -> None:
        """Wait until an instance reports that it is ready."""
        with trio.fail_after(_READY_TIMEOUT_S):
            while not await self._is_ready(instance):  # noqa: ASYNC110
                await trio.sleep(_READY_POLL_S)

    def _reserve(self, host: str) -> str:
        reserved = self._stack.enter_context(closing(reserve_address(host)))
        return address_of(reserved)

    async def _post(self, url: str, body: object) -> None:
        reply = await self.client.send("POST", url, body=body)
        if reply.status != 200:
            raise RuntimeError(f"POST {url}: {reply.status} {reply.body!r}")

    async def _is_ready(self, instance: InstanceProcess) -> bool:
        if instance.process.exit_code is not None:
            log = (self.folder / f"{instance.name}.log").read_text()
            raise RuntimeError(f"{instance.name} exited: {log}")
        try:
            reply = await self.client.send("GET", instance.url("/readyz"))
        except OSError:
            return False
        except Exception as error:
            if "Connect" in type(error).__name__:
                return False
            raise
        return reply.status == 200

    async def _start_platform(self) -> None:
        process = await self._stack.enter_async_context(
            RunningProcess(["-m", "ibisfront.testing.platform", "--port", "0"])
        )
        self.platform_address = await process.read_prefixed(LISTENING)
        self.platform_control = await process.read_prefixed(CONTROL)
        self._platform_relay_address = await self._open_relay(
            self.platform_address, PLATFORM_LOCATION
        )

    async def _start_service(self, service: ServiceShape) -> None:
        process = await self._stack.enter_async_context(
            RunningProcess(
                [
                    "-m",
                    "ibisfront.testing.backend",
                    *("--service", service.name),
                    *("--port", "0"),
                    *("--count", str(service.servers)),
                    *service.options,
                ]
            )
        )
        self.backend_processes[service.name] = process
        lines = [await process.read_prefixed(LISTENING) for _ in range(service.servers)]
        self.backend_controls[service.name] = await process.read_prefixed(CONTROL)
        self.backend_servers[service.name] = tuple(
            [
                await self._backend_server(service.name, number, line.split()[0])
                for number, line in enumerate(lines)
            ]
        )

    async def _backend_server(
        self, service: str, number: int, address: str
    ) -> BackendServer:
        first = [shape.name for shape in self.shape.services].index(service)
        zone = self.shape.zones[(first + number) % len(self.shape.zones)]
        return BackendServer(
            name=f"{service}-{number}",
            address=await self._open_relay(address, self.ip_of_zone(zone)),
            zone=zone,
        )

    async def _start_relays(self) -> None:
        """Start the relay processes, which share the targets.

        A single process is saturated during most of a benchmark and delays
        bytes by hundreds of milliseconds or more, which the instances see as
        silent connections and server timeouts.
        """
        if not self.shape.relayed:
            return
        for _ in range(_RELAY_PROCESSES):
            process = await self._stack.enter_async_context(
                RunningProcess(["-m", "ibisfront.testing.relay"])
            )
            self.relay_controls.append(await process.read_prefixed(CONTROL))
        self._next_relay = itertools.cycle(self.relay_controls)

    async def _open_relay(self, address: str, location: str) -> str:
        if not self.shape.relayed:
            return address
        url = f"http://{next(self._next_relay)}/control/relays"
        target = RelayTarget(address, location)
        reply = await self.client.send("POST", url, body=target)
        return reply.decode(RelayAddress).address

    async def _publish_objects(self) -> None:
        for name, servers in self.backend_servers.items():
            await self.put_object("service", name, Service(servers))
        for index in self.shape.indexes:
            snapshots = tuple(
                Snapshot(snapshot, index.services) for snapshot in index.snapshots
            )
            await self.put_object("index", index.name, Index(snapshots))
        await self.put_object("table", TABLE_NAME, self.shape.table)

    def _settings(
        self, name: str, zone: str, caller: str, admin: str
    ) -> dict[str, dict[str, str | int]]:
        return {
            "instance": {"name": name, "zone": zone},
            "callers": {"address": caller},
            "admin": {"address": admin, "token": ADMIN_TOKEN},
            "platform": {"address": self._platform_relay_address},
            "stop": {"balancer_lag_ms": self.shape.balancer_lag_ms},
            "shares": {"join_ms": self.shape.join_ms},
        }


class _ServerReport(msgspec.Struct):
    state: BackendState


class _RunReport(msgspec.Struct):
    performed: list[PerformRun]


class _ObjectVersion(msgspec.Struct):
    version: int


class _InstanceEntry(msgspec.Struct):
    name: str
    zone: str
    peer_address: str
    admin_address: str
    state: str = "live"


class _InstanceEntries(msgspec.Struct):
    instances: list[_InstanceEntry]
