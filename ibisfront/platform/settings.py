"""The platform's settings file, decoded into the gateway's settings."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.gateway.settings import Bounds, GatewaySettings

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["METRICS_PORT", "SETTINGS_PATH_VARIABLE", "read_platform_settings"]

SETTINGS_PATH_VARIABLE = "IBISFRONT_BOOT"
"""The environment variable that holds the path of the settings file."""

METRICS_PORT = 9464
"""Port that serves metrics; the deploy file names the same one."""

_MILLISECONDS_PER_SECOND = 1000.0


class _Listen(msgspec.Struct, rename="camel"):
    """Addresses to listen on; each may be missing."""

    front: str = ""
    ready: str = ""
    control: str = ""


class _Limits(msgspec.Struct, rename="camel"):
    """Limits of one process."""

    # Share of one core; ``cpus`` is the relative speed of that core.
    cpu_share: float = 1.0
    cpus: float = 1.0
    memory_mb: float = 200.0
    max_fds: int = 4_100


class _Bounds(msgspec.Struct, rename="camel"):
    """The bounds in use; the file holds more."""

    grace_s: float
    contact_ms: float
    config_apply_ms: float
    # How long requests may still be sent to a draining server, not how long it
    # takes to drain.
    drain_ms: float
    retry_ratio: float
    retry_window_s: float
    # Extra attempts that are always allowed in a window, not a count of retries.
    retry_allowance: float
    # Missing where zones are never evacuated.
    evacuate_ms: float | None = None
    # Limits on requests to a cold server, not on the length of its warm-up.
    warmup_excess: float = 1.0
    warmup_slack: float = 0.0
    # Missing where workspaces have no limits.
    quota_window_s: float = 5.0
    quota_excess: float = 0.0
    quota_slack: float = 0.0


class _Store(msgspec.Struct):
    """Address of the platform's store."""

    addr: str


class _SettingsFile(msgspec.Struct, rename="camel"):
    """The part of the file that is used."""

    node_name: str
    zone: str
    ip: str
    listen: _Listen
    limits: _Limits
    bounds: _Bounds
    # Describes the platform's store only, not the whole platform.
    platform: _Store
    seeds: tuple[str, ...] = ()
    # Region by zone.
    zones: dict[str, str] = {}
    # True only at the first start of all instances, not of this one alone.
    bootstrap: bool = False


def read_platform_settings(path: Path) -> GatewaySettings:
    """Read the settings file.

    Raises
    ------
    IbisfrontError
        ``bad_settings`` if it cannot be read or lacks a required setting.
    """
    try:
        file = msgspec.convert(tomllib.loads(path.read_text()), _SettingsFile)
    except (OSError, ValueError, RecursionError) as error:
        raise IbisfrontError(
            ErrorKind.BAD_SETTINGS, f"{path}: {error}: correct the settings file"
        ) from error
    bounds = file.bounds
    return GatewaySettings(
        instance=file.node_name,
        zone=file.zone,
        callers_address=file.listen.front,
        ready_address=file.listen.ready,
        peers_address=file.listen.control or None,
        metrics_address=f"{file.ip}:{METRICS_PORT}",
        capacity=file.limits.cpu_share * file.limits.cpus,
        seeds=file.seeds,
        is_first_start=file.bootstrap,
        store_address=file.platform.addr,
        bounds=Bounds(
            stop_grace_ms=bounds.grace_s * _MILLISECONDS_PER_SECOND,
            contact_ms=bounds.contact_ms,
            change_ms=min(bounds.config_apply_ms, bounds.drain_ms),
            extra_ratio=bounds.retry_ratio,
            extra_window_ms=bounds.retry_window_s * _MILLISECONDS_PER_SECOND,
            extra_allowance=bounds.retry_allowance,
            evacuation_ms=bounds.evacuate_ms,
            cold_excess=bounds.warmup_excess,
            cold_slack=bounds.warmup_slack,
            quota_window_ms=bounds.quota_window_s * _MILLISECONDS_PER_SECOND,
            quota_excess=bounds.quota_excess,
            quota_slack=bounds.quota_slack,
        ),
        zones=frozenset(file.zones),
        memory_mb=file.limits.memory_mb,
        maximum_descriptors=file.limits.max_fds,
    )
