"""Adapters for callers, backend servers, the platform and peers."""

from __future__ import annotations

from ibisfront.adapters.admin import admin_routes, health_routes
from ibisfront.adapters.asgi import asgi_application
from ibisfront.adapters.callers import CallerService, caller_routes
from ibisfront.adapters.factory import AdapterFactory
from ibisfront.adapters.http import (
    HttpRequest,
    HttpResponse,
    Problem,
    Route,
    json_response,
    problem_response,
)
from ibisfront.adapters.platform import PlatformClient

__all__ = [
    "AdapterFactory",
    "CallerService",
    "HttpRequest",
    "HttpResponse",
    "PlatformClient",
    "Problem",
    "Route",
    "admin_routes",
    "asgi_application",
    "caller_routes",
    "health_routes",
    "json_response",
    "problem_response",
]
