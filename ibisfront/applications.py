"""The ASGI applications of an entry instance, for callers and operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.adapters.admin import admin_routes, bearer_authorization, health_routes
from ibisfront.adapters.asgi import asgi_application
from ibisfront.adapters.callers import caller_routes
from ibisfront.adapters.connection_close import connection_close_middleware
from ibisfront.adapters.observation import observe_exchanges
from ibisfront.core.logs import LogPart

if TYPE_CHECKING:
    from ibisfront.adapters.asgi import AsgiApplication
    from ibisfront.core.clock import Clock
    from ibisfront.core.conditional_platform import ConditionalPlatform
    from ibisfront.core.settings import Settings
    from ibisfront.instance import EntryInstance

__all__ = ["MAXIMUM_ADMIN_BODY_BYTES", "admin_application", "caller_application"]

MAXIMUM_ADMIN_BODY_BYTES = 2_000_000


def caller_application(
    instance: EntryInstance, *, settings: Settings, clock: Clock
) -> AsgiApplication:
    """Return the application for callers and the load balancer's health checks."""
    application = asgi_application(
        (*caller_routes(instance, settings=settings.callers), *health_routes(instance)),
        clock=clock,
        maximum_body_bytes=settings.callers.maximum_body_bytes,
        observe=observe_exchanges(
            LogPart.CALLERS, counters=instance.counters, latencies=instance.latencies
        ),
    )
    return connection_close_middleware(application, instance.stopping)


def admin_application(
    instance: EntryInstance,
    *,
    platform: ConditionalPlatform,
    settings: Settings,
    clock: Clock,
) -> AsgiApplication:
    """Return the application for operators, authorized by their token."""
    return asgi_application(
        admin_routes(instance, platform=platform, clock=clock),
        clock=clock,
        maximum_body_bytes=MAXIMUM_ADMIN_BODY_BYTES,
        observe=observe_exchanges(LogPart.ADMIN, counters=instance.counters),
        authorize=bearer_authorization(settings.admin.token),
    )
