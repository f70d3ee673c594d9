"""The settings of one process: what may be set, the ranges and the defaults.

Each setting says what it is for, and each number its range. The checks, the
page for operators and ``ibisfront check-settings`` are made from that.
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
    """Who this instance is."""

    name: Annotated[_Name, Meta(description="Its name, unique over all instances.")]
    zone: Annotated[_Name, Meta(description="Its availability zone.")]
    outgoing_ip: Annotated[
        str | None,
        Meta(
            extra=OWN_IP,
            description="The IP number that its own connections come from; the"
            " system picks one if it is left out.",
        ),
    ] = None


class CallerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The listener for callers."""

    address: Annotated[
        str, Meta(extra=OWN_ADDRESS, description="Where callers reach it.")
    ]
    maximum_body_bytes: Annotated[
        int,
        Meta(ge=1, le=16_777_216, description="A longer request body is refused."),
    ] = 65_536
    default_deadline_ms: Annotated[
        int,
        Meta(ge=1, le=600_000, description="For a request without `X-Deadline-Ms`."),
    ] = 2_000
    maximum_deadline_ms: Annotated[
        int, Meta(ge=1, le=600_000, description="A longer deadline counts as this.")
    ] = 30_000


class AdminSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The listener for operators."""

    address: Annotated[
        str, Meta(extra=OWN_ADDRESS, description="Where operators reach it.")
    ]
    token: Annotated[
        str,
        Meta(
            min_length=16,
            max_length=512,
            extra=SECRET_TEXT,
            description="The bearer token that each request of an operator carries.",
        ),
    ]


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The listener for the other instances."""

    address: Annotated[
        str, Meta(extra=OWN_ADDRESS, description="Where the other instances reach it.")
    ]
    seeds: Annotated[
        tuple[_RemoteAddress, ...],
        Meta(description="Peer addresses to try first, before any list is known."),
    ] = ()
    advertised_address: Annotated[
        str | None,
        Meta(
            extra=REMOTE_ADDRESS,
            description="Where the others reach the listener, if that is not the"
            " address that it listens on.",
        ),
    ] = None

    @property
    def reached_at(self) -> Address:
        """Where the other instances reach the listener."""
        return self.advertised_address or self.address


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's object API."""

    address: Annotated[
        str, Meta(extra=REMOTE_ADDRESS, description="Where the object API is.")
    ]
    watch_wait_ms: Annotated[
        int, Meta(ge=100, le=300_000, description="How long one watch waits.")
    ] = 20_000


class StopSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a planned stop goes."""

    balancer_lag_ms: Annotated[
        int,
        Meta(
            ge=0,
            le=60_000,
            description="How long the balancer may go on sending callers to an"
            " instance that is no longer ready.",
        ),
    ] = 3_000
    finish_ms: Annotated[
        int,
        Meta(
            ge=0,
            le=700_000,
            description="How long requests in flight may run on after that. Below"
            " `callers.maximum_deadline_ms`, a planned stop can cut off requests.",
        ),
    ] = 31_000


class ShareSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the table's limits are shared over the instances.

    The lease itself is no setting: instances with different ones would let
    each other's shares run twice.
    """

    join_ms: Annotated[
        int,
        Meta(
            ge=0,
            le=60_000,
            description="How long a new process is not ready and uses only what"
            " others grant it; below two leases (2,000), a restart under load can"
            " go over a limit for a moment.",
        ),
    ] = 2_000


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The log, written to standard error."""

    level: Annotated[
        Literal["debug", "info", "warning", "error"],
        Meta(description="The least severe lines written; `debug` has each request."),
    ] = "info"


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything that a settings file says."""

    instance: InstanceSettings
    callers: CallerSettings
    admin: AdminSettings
    peers: PeerSettings
    platform: PlatformSettings
    backend: BackendSettings = BackendSettings()
    stop: StopSettings = StopSettings()
    shares: ShareSettings = ShareSettings()
    query: QuerySettings = QuerySettings()
    logs: LogSettings = LogSettings()


class SettingsError(IbisfrontError):
    """Settings that cannot be used, with every fault in them.

    Parameters
    ----------
    source : str
        Where the settings came from.
    faults : tuple of SettingsFault
        All of them, in the order of the settings.
    """

    def __init__(self, source: str, faults: tuple[SettingsFault, ...]) -> None:
        count = f"{len(faults)} fault{'' if len(faults) == 1 else 's'}"
        lines = "".join(f"\n  {fault}" for fault in faults)
        super().__init__(ErrorKind.BAD_SETTINGS, f"{source} has {count}:{lines}")
        self.faults = faults


def check_settings(text: str, *, source: str = "the settings") -> Settings:
    """Return the settings that a TOML text says.

    Parameters
    ----------
    text : str
        The TOML text.
    source : str, optional
        Where it came from, for the error.

    Raises
    ------
    SettingsError
        ``bad_settings``, with all faults at once; each names the value and
        the cure.
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
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        ``bad_settings``, with all faults at once.
    """
    try:
        text = path.read_bytes().decode()
    except OSError as error:
        fault = SettingsFault(
            "", f"cannot be read ({error.strerror})", "name a file that can be read"
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
