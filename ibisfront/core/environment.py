"""Paths given by environment variables."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path

from ibisfront.core.errors import ErrorKind, IbisfrontError

__all__ = ["settings_path"]


def settings_path(variable: str, environment: Mapping[str, str] = os.environ) -> Path:
    """Return the path of the settings file.

    Parameters
    ----------
    variable : str
        Name of the variable that holds it.
    environment : mapping
        The environment variables.

    Raises
    ------
    IbisfrontError
        ``bad_settings`` if the variable is not set.
    """
    value = environment.get(variable, "")
    if not value:
        raise IbisfrontError(
            ErrorKind.BAD_SETTINGS,
            f"{variable} is not set: set it to the path of the settings file",
        )
    return Path(value)
