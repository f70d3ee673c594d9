"""The settings of one process, and their defaults."""

from __future__ import annotations

from pathlib import Path

import msgspec

from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.types import Address

__all__ = [
    "AdminSettings",
    "BackendSettings",
    "CallerSettings",
    "InstanceSettings",
    "PeerSettings",
    "PlatformSettings",
    "Settings",
    "StopSettings",
    "read_settings",
]


class InstanceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who this instance is.

    ``outgoing_ip`` is the address that its own connections come from; the
    system picks one if it is left out.
    """

    name: str
    zone: str
    outgoing_ip: str | None = None


class CallerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The listener for callers."""

    address: Address
    maximum_body_bytes: int = 65_536
    default_deadline_ms: int = 2_000
    maximum_deadline_ms: int = 30_000


class AdminSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The listener for operators; ``token`` guards it."""

    address: Address
    token: str


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The listener for the other instances, and first addresses to try.

    ``advertised_address`` is where the others reach the listener, if that is
    not the address that it listens on.
    """

    address: Address
    seeds: tuple[Address, ...] = ()
    advertised_address: Address | None = None

    @property
    def reached_at(self) -> Address:
        """Where the other instances reach the listener."""
        return self.advertised_address or self.address


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the platform's object API is."""

    address: Address
    watch_wait_ms: int = 20_000


class BackendSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How backend servers are used."""

    connections_per_server: int = 4


class StopSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a planned stop goes.

    Attributes
    ----------
    balancer_lag_ms : int
        How long the balancer may go on sending callers to an instance that
        is no longer ready.
    finish_ms : int
        How long requests in flight may run on after that; longer than the
        longest deadline, or a planned stop cuts off requests.
    """

    balancer_lag_ms: int = 3_000
    finish_ms: int = 31_000


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything that a settings file says."""

    instance: InstanceSettings
    callers: CallerSettings
    admin: AdminSettings
    peers: PeerSettings
    platform: PlatformSettings
    backend: BackendSettings = BackendSettings()
    stop: StopSettings = StopSettings()


def read_settings(path: Path) -> Settings:
    """Read and check a settings file.

    Raises
    ------
    IbisfrontError
        ``bad_settings``, naming the value and the cure.
    """
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Settings)
    except (OSError, msgspec.MsgspecError, ValueError) as error:
        raise IbisfrontError(ErrorKind.BAD_SETTINGS, f"{path}: {error}") from error
