"""The front processes of the soak."""

from __future__ import annotations

import os
import signal
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING

import tomli_w

from ibisfront.platform.settings import SETTINGS_PATH_VARIABLE
from ibisfront.testing.processes import RunningProcess, address_of, reserve_address
from ibisfront.testing.soak.proxy import FaultyProxy

if TYPE_CHECKING:
    from ibisfront.core.types import Address

__all__ = ["EXTRA_ALLOWANCE", "EXTRA_RATIO", "EXTRA_WINDOW_MS", "SoakFront"]

EXTRA_RATIO = 0.2
EXTRA_WINDOW_MS = 10_000.0
EXTRA_ALLOWANCE = 60.0
_ROLES = ("front", "ready", "control")


def _loopback_ip(number: int) -> str:
    """Return an address of its own: each front serves metrics on the same port.

    Two soaks at once must not share them either.
    """
    pid = os.getpid()
    return f"127.{1 + pid // 250 % 250}.{pid % 250}.{10 + number}"


class SoakFront:
    """One front process, which may be ended and started again.

    Parameters
    ----------
    number : int
        Its number.
    folder : Path
        Where its settings and logs go.

    Attributes
    ----------
    callers_proxy, store_proxy : FaultyProxy
        On its way to callers and to the store.
    incarnation : int
        How often it was started.
    """

    def __init__(self, number: int, folder: Path) -> None:
        self.name = f"front-{number}"
        self.zone = f"z{number % 2}"
        self._ip = _loopback_ip(number)
        self._folder = folder
        self._stack = AsyncExitStack()
        self._reserved = {role: reserve_address(self._ip) for role in _ROLES}
        self._process: RunningProcess | None = None
        self._written = 0
        self.callers_proxy = FaultyProxy(address_of(self._reserved["front"]))
        self.store_proxy = FaultyProxy()
        self.incarnation = 0

    @property
    def label(self) -> str:
        """Its name with its incarnation."""
        return f"{self.name}#{self.incarnation}"

    @property
    def control_address(self) -> Address:
        """Where other fronts reach it."""
        return address_of(self._reserved["control"])

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self._process is not None and self._process.exit_code is None

    def write_settings(self, seeds: list[Address]) -> None:
        """Write its settings file; each time a little different."""
        self._written += 1
        settings = {
            "nodeName": self.name,
            "zone": self.zone,
            "ip": self._ip,
            "seeds": seeds,
            "bootstrap": self.incarnation == 0,
            "written": self._written,
            "listen": {role: address_of(self._reserved[role]) for role in _ROLES},
            "limits": {"cpuShare": 1.0, "cpus": 1},
            "bounds": {
                "graceS": 6,
                "contactMs": 4000,
                "configApplyMs": 3000,
                "drainMs": 3000,
                "retryRatio": EXTRA_RATIO,
                "retryWindowS": EXTRA_WINDOW_MS / 1000.0,
                "retryAllowance": EXTRA_ALLOWANCE,
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

    async def start(self) -> None:
        """Start its process."""
        self.incarnation += 1
        self._process = RunningProcess(
            ["-m", "ibisfront.front"],
            log_path=str(self._folder / f"{self.name}.err"),
            output_path=str(self._folder / f"{self.name}.log"),
            environment={SETTINGS_PATH_VARIABLE: str(self._settings_path)},
        )
        await self._stack.enter_async_context(self._process)

    def send(self, number: signal.Signals) -> None:
        """Send it a signal if it runs."""
        if self._process is not None and self.is_running:
            self._process.send(number)

    async def wait(self) -> int:
        """Wait until its process has ended and return how."""
        assert self._process is not None
        return await self._process.wait()

    async def close(self) -> None:
        """End its process, and give its ports back."""
        await self._stack.aclose()
        for reserved in self._reserved.values():
            reserved.close()
