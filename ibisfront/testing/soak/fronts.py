"""Front processes of the soak."""

from __future__ import annotations

import os
import signal
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING

import tomli_w

from ibisfront.platform.settings import METRICS_PORT, SETTINGS_PATH_VARIABLE
from ibisfront.testing.processes import RunningProcess, address_of, reserve_address
from ibisfront.testing.soak.proxy import FaultyProxy

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ibisfront.core.types import Address

__all__ = [
    "APPLY_MS",
    "CONTACT_MS",
    "EXTRA_ALLOWANCE",
    "EXTRA_RATIO",
    "EXTRA_WINDOW_MS",
    "QUOTA_EXCESS",
    "QUOTA_SLACK",
    "QUOTA_WINDOW_MS",
    "SoakFront",
]

CONTACT_MS = 4_000.0
APPLY_MS = 3_000.0
EXTRA_RATIO = 0.2
EXTRA_WINDOW_MS = 10_000.0
EXTRA_ALLOWANCE = 60.0
QUOTA_WINDOW_MS = 5_000.0
QUOTA_EXCESS = 0.1
QUOTA_SLACK = 20.0
_ROLES = ("front", "ready", "control")
_ZONES = 3
"""Zones of the fronts; the last one has no servers, so that its fronts delegate."""


def _loopback_ip(number: int) -> str:
    """Return a separate address for each front, as all serve metrics on one port.

    It depends on the process id, so that concurrent soaks do not collide.
    """
    pid = os.getpid()
    return f"127.{1 + pid // 250 % 250}.{pid % 250}.{10 + number}"


class SoakFront:
    """One front process, which can be stopped and restarted.

    Parameters
    ----------
    number : int
        Index of the front.
    folder : Path
        Directory for its settings and logs.
    limits : mapping of str to int, optional
        Limits of the process as the platform states them.

    Attributes
    ----------
    callers_proxy, store_proxy : FaultyProxy
        Proxies on its connections from callers and to the store.
    incarnation : int
        Number of starts.
    is_closed : bool
        Whether it is ended for good.
    """

    def __init__(
        self, number: int, folder: Path, *, limits: Mapping[str, int] | None = None
    ) -> None:
        self.name = f"front-{number}"
        self.zone = f"z{number % _ZONES}"
        self._ip = _loopback_ip(number)
        self._folder = folder
        self._limits = {"cpuShare": 1.0, "cpus": 1, **(limits or {})}
        self._stack = AsyncExitStack()
        self._reserved = {role: reserve_address(self._ip) for role in _ROLES}
        self._process: RunningProcess | None = None
        self._write_count = 0
        self.callers_proxy = FaultyProxy(address_of(self._reserved["front"]))
        self.store_proxy = FaultyProxy()
        self.incarnation = 0
        self.is_closed = False

    @property
    def label(self) -> str:
        """Name with incarnation."""
        return f"{self.name}#{self.incarnation}"

    @property
    def control_address(self) -> Address:
        """Address at which other fronts reach it."""
        return address_of(self._reserved["control"])

    @property
    def callers_address(self) -> Address:
        """Address for callers, without a proxy."""
        return self.address_of_role("front")

    def address_of_role(self, role: str) -> Address:
        """Return a listening address; roles are those of the settings and metrics."""
        if role == "metrics":
            return f"{self._ip}:{METRICS_PORT}"
        return address_of(self._reserved[role])

    @property
    def ports(self) -> frozenset[int]:
        """Ports that it listens on."""
        roles = (*_ROLES, "metrics")
        addresses = [self.address_of_role(role) for role in roles]
        return frozenset(int(address.rpartition(":")[2]) for address in addresses)

    @property
    def process_id(self) -> int:
        """Id of the process, once started."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.exit_code is None

    def write_settings(self, seeds: list[Address]) -> None:
        """Write the settings file, with different content each time."""
        self._write_count += 1
        settings = {
            "nodeName": self.name,
            "zone": self.zone,
            "ip": self._ip,
            "seeds": seeds,
            "bootstrap": self.incarnation == 0,
            "written": self._write_count,
            "listen": {role: address_of(self._reserved[role]) for role in _ROLES},
            "limits": self._limits,
            "bounds": {
                "graceS": 6,
                "contactMs": int(CONTACT_MS),
                "configApplyMs": int(APPLY_MS),
                "drainMs": 3000,
                "retryRatio": EXTRA_RATIO,
                "retryWindowS": EXTRA_WINDOW_MS / 1000.0,
                "retryAllowance": EXTRA_ALLOWANCE,
                "quotaWindowS": QUOTA_WINDOW_MS / 1000.0,
                "quotaExcess": QUOTA_EXCESS,
                "quotaSlack": QUOTA_SLACK,
            },
            "platform": {"addr": self.store_proxy.address},
        }
        path = self._settings_path
        new = path.with_suffix(".new")
        new.write_text(tomli_w.dumps(settings))
        new.replace(path)

    @property
    def _settings_path(self) -> Path:
        return self._folder / f"{self.name}.toml"

    @property
    def _log_path(self) -> Path:
        return self._folder / f"{self.name}.log"

    @property
    def log(self) -> str:
        """What its incarnations have logged."""
        return self._log_path.read_text(errors="replace")

    async def start(self) -> None:
        """Start the process."""
        self.incarnation += 1
        self._process = RunningProcess(
            ["-m", "ibisfront.front"],
            log_path=str(self._folder / f"{self.name}.err"),
            output_path=str(self._log_path),
            environment={SETTINGS_PATH_VARIABLE: str(self._settings_path)},
        )
        await self._stack.enter_async_context(self._process)

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self._process is not None and self.is_running:
            self._process.send(number)

    async def wait(self) -> int:
        """Wait until the process has ended and return its exit code."""
        assert self._process is not None
        return await self._process.wait()

    async def close(self) -> None:
        """End the process and release its ports."""
        self.is_closed = True
        await self._stack.aclose()
        for reserved in self._reserved.values():
            reserved.close()
