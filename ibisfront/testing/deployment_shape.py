"""Description of a deployment on the local machine."""

from __future__ import annotations

import msgspec

from ibisfront.core.table import Purpose, Row, Table

__all__ = ["DeploymentShape", "IndexShape", "ServiceShape", "register_shape"]


class ServiceShape(msgspec.Struct, frozen=True):
    """One service and its backend servers.

    Attributes
    ----------
    name : str
        The service's name.
    servers : int
        Number of backend servers. They are assigned to the zones round-robin,
        starting at another zone for each service, so that each zone has some.
    options : tuple of str
        Additional options of ``python -m ibisfront.testing.backend``.
    """

    name: str
    servers: int = 2
    options: tuple[str, ...] = ()


class IndexShape(msgspec.Struct, frozen=True):
    """One index and the services that hold its snapshots."""

    name: str
    services: tuple[str, ...]
    snapshots: tuple[str, ...] = ("snapshot-1",)


class DeploymentShape(msgspec.Struct, frozen=True):
    """The processes and objects of a deployment.

    Attributes
    ----------
    services, indexes : tuple
        The services and indexes of the back end.
    table : Table
        The initial table.
    zones : tuple of str
        The availability zones.
    instances : int
        Number of entry instances, assigned to the zones round-robin.
    settings_text : str
        Additional settings of every instance, as TOML.
    balancer_lag_ms : int
        How long a stopping instance still accepts requests.
    join_ms : int
        How long a new instance uses only shares that others grant it.
    relayed : bool
        Whether all network paths except the callers' pass a relay that can
        partition zones.
    """

    services: tuple[ServiceShape, ...]
    indexes: tuple[IndexShape, ...]
    table: Table
    zones: tuple[str, ...] = ("z1", "z2", "z3")
    instances: int = 3
    settings_text: str = ""
    balancer_lag_ms: int = 0
    join_ms: int = 300
    relayed: bool = False


def register_shape(services: int = 3, *, instances: int = 3) -> DeploymentShape:
    """Return a small deployment with one index and one perform service.

    Parameters
    ----------
    services : int
        Number of services that hold the index.
    instances : int
        Number of entry instances.
    """
    names = tuple(f"register-{number:02d}" for number in range(services))
    return DeploymentShape(
        services=(
            *(ServiceShape(name) for name in names),
            ServiceShape("print-queue", servers=3),
        ),
        indexes=(IndexShape("register", names),),
        table=Table(
            purposes=(
                Purpose("name-check", "search", index="register", urgent=True),
                Purpose("bulk-lookup", "search", index="register", prefers="coverage"),
                Purpose("print-envelopes", "perform", service="print-queue"),
            ),
            rows=tuple(
                Row(branch, purpose, weight=1.0, limit_per_s=500.0, max_in_flight=200)
                for branch in ("hallgrim", "vestry", "harbour")
                for purpose in ("name-check", "bulk-lookup", "print-envelopes")
            ),
        ),
        instances=instances,
    )
