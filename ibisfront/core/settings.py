"""Settings of one process, with their ranges and defaults.

Each setting has a description, and each number a range. Validation, the
operators' reference page and ``ibisfront check-settings`` are derived from them.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal, TypeAlias

import msgspec
from msgspec import Meta

from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.query_settings import BackendSettings, QuerySettings
from ibisfront.core.settings_check import (
    OWN_ADDRESS,
    OWN_IP,
    REMOTE_ADDRESS,
    SECRET_TEXT,
    VISIBLE_TEXT,
    SettingsFault,
    check_distinct_addresses,
    check_struct,
    parse_toml,
)
from ibisfront.core.types import Address

__all__ = [
    "AdminSettings",
    "BackendSettings",
    "CallerSettings",
    "InstanceSettings",
    "LogSettings",
    "MemorySettings",
    "PeerSettings",
    "PlatformSettings",
    "QuerySettings",
    "Settings",
    "SettingsError",
    "ShareSettings",
    "StopSettings",
    "check_settings",
    "read_settings",
]

_Name: TypeAlias = Annotated[str, Meta(min_length=1, max_length=64, extra=VISIBLE_TEXT)]
_RemoteAddress: TypeAlias = Annotated[str, Meta(extra=REMOTE_ADDRESS)]


class InstanceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Identity of this instance."""

    name: Annotated[_Name, Meta(description="Name, unique among all instances.")]
    zone: Annotated[_Name, Meta(description="Availability zone.")]
    outgoing_ip: Annotated[
        str | None,
        Meta(
            extra=OWN_IP,
            description="Source IP address of outgoing connections; the system"
            " chooses one if it is not set.",
        ),
    ] = None


class CallerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Listener for callers."""

    address: Annotated[
        str, Meta(extra=OWN_ADDRESS, description="Listen address for callers.")
    ]
    maximum_body_bytes: Annotated[
        int,
        Meta(ge=1, le=16_777_216, description="Maximum size of a request body."),
    ] = 65_536
    default_deadline_ms: Annotated[
        int,
        Meta(ge=1, le=600_000, description="Deadline without `X-Deadline-Ms`."),
    ] = 2_000
    maximum_deadline_ms: Annotated[
        int, Meta(ge=1, le=600_000, description="Longer deadlines are reduced to it.")
    ] = 30_000


class AdminSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Listener for operators."""

    address: Annotated[
        str, Meta(extra=OWN_ADDRESS, description="Listen address for operators.")
    ]
    token: Annotated[
        str,
        Meta(
            min_length=16,
            max_length=512,
            extra=SECRET_TEXT,
            description="Bearer token required in every operator request.",
        ),
    ]


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Listener for other instances."""

    address: Annotated[
        str, Meta(extra=OWN_ADDRESS, description="Listen address for other instances.")
    ]
    seeds: Annotated[
        tuple[_RemoteAddress, ...],
        Meta(description="Peer addresses used until the list of members is known."),
    ] = ()
    advertised_address: Annotated[
        str | None,
        Meta(
            extra=REMOTE_ADDRESS,
            description="Address at which other instances reach the listener, if it"
            " differs from the listen address.",
        ),
    ] = None

    @property
    def effective_address(self) -> Address:
        """Address at which other instances reach the listener."""
        return self.advertised_address or self.address


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Connection to the platform's object API."""

    address: Annotated[
        str, Meta(extra=REMOTE_ADDRESS, description="Address of the object API.")
    ]
    watch_wait_ms: Annotated[
        int, Meta(ge=100, le=300_000, description="Duration of one watch request.")
    ] = 20_000


class StopSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timing of a planned stop."""

    balancer_lag_ms: Annotated[
        int,
        Meta(
            ge=0,
            le=60_000,
            description="How long the load balancer may still send requests to an"
            " instance that is no longer ready.",
        ),
    ] = 3_000
    finish_ms: Annotated[
        int,
        Meta(
            ge=0,
            le=700_000,
            description="How long requests in flight may still run after that. Below"
            " `callers.maximum_deadline_ms`, a planned stop can abort requests.",
        ),
    ] = 31_000


class ShareSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Distribution of the table's limits among the instances.

    The lease duration is not configurable: if it differed between instances, a
    share could be in use at two instances at the same time.
    """

    join_ms: Annotated[
        int,
        Meta(
            ge=0,
            le=60_000,
            description="How long a new process is not ready and uses only shares"
            " granted by others; below two leases (2,000), a restart under load can"
            " briefly exceed a limit.",
        ),
    ] = 2_000


class MemorySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Memory of the process."""

    process_bytes: Annotated[
        int,
        Meta(
            ge=64_000_000,
            le=1_000_000_000_000,
            description="Memory that the process may use. Bodies of requests get up"
            " to a fifth of it together, and connections another fifth.",
        ),
    ] = 2_000_000_000


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Log, written to standard error."""

    level: Annotated[
        Literal["debug", "info", "warning", "error"],
        Meta(description="Lowest severity logged; `debug` includes each request."),
    ] = "info"


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Contents of a settings file."""

    instance: InstanceSettings
    callers: CallerSettings
    admin: AdminSettings
    peers: PeerSettings
    platform: PlatformSettings
    backend: BackendSettings = BackendSettings()
    stop: StopSettings = StopSettings()
    shares: ShareSettings = ShareSettings()
    query: QuerySettings = QuerySettings()
    memory: MemorySettings = MemorySettings()
    logs: LogSettings = LogSettings()


class SettingsError(IbisfrontError):
    """Invalid settings, with all of their faults.

    Parameters
    ----------
    source : str
        Origin of the settings, such as a file name.
    faults : tuple of SettingsFault
        All faults, in the order of the settings.
    """

    def __init__(self, source: str, faults: tuple[SettingsFault, ...]) -> None:
        count = f"{len(faults)} fault{'' if len(faults) == 1 else 's'}"
        lines = "".join(f"\n  {fault}" for fault in faults)
        super().__init__(ErrorKind.BAD_SETTINGS, f"{source} has {count}:{lines}")
        self.faults = faults


def check_settings(text: str, *, source: str = "the settings") -> Settings:
    """Parse and validate settings given as TOML.

    Parameters
    ----------
    text : str
        The TOML text.
    source : str, optional
        Origin of the text, for error messages.

    Raises
    ------
    SettingsError
        ``bad_settings`` with all faults; each states the value and how to fix it.
    """
    parsed = parse_toml(text)
    if isinstance(parsed, SettingsFault):
        raise SettingsError(source, (parsed,))
    faults = check_struct(parsed, Settings) + check_distinct_addresses(parsed, Settings)
    if faults:
        raise SettingsError(source, tuple(faults))
    settings = msgspec.convert(parsed, Settings)
    faults = _deadline_faults(settings.callers)
    if faults:
        raise SettingsError(source, tuple(faults))
    return settings


def read_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    Raises
    ------
    SettingsError
        ``bad_settings`` with all faults.
    """
    try:
        text = path.read_bytes().decode()
    except OSError as error:
        fault = SettingsFault(
            "", f"cannot be read ({error.strerror})", "choose a readable file"
        )
        raise SettingsError(str(path), (fault,)) from error
    except UnicodeDecodeError as error:
        fault = SettingsFault("", f"is not UTF-8 ({error})", "save the file as UTF-8")
        raise SettingsError(str(path), (fault,)) from error
    return check_settings(text, source=str(path))


def _deadline_faults(callers: CallerSettings) -> list[SettingsFault]:
    if callers.default_deadline_ms <= callers.maximum_deadline_ms:
        return []
    return [
        SettingsFault(
            "callers.default_deadline_ms",
            f"is {callers.default_deadline_ms}, above maximum_deadline_ms"
            f" ({callers.maximum_deadline_ms})",
            "lower it or raise callers.maximum_deadline_ms",
        )
    ]
