"""Runs the front daemon: ``python3 -m ibisfront.front``."""

from __future__ import annotations

import gc


def _run() -> None:
    """Start in the order in which callers wait least."""
    # Nothing that is imported becomes garbage. Collections during the imports take
    # a fifth of the start (0.26 to 0.21 s of processor time, 15 paired runs,
    # together with the options of deploy/system.toml); callers find nobody then.
    gc.disable()
    from ibisfront.front.early_start import start_early
    from ibisfront.front.lean_imports import leave_out_tls

    leave_out_tls()
    start = start_early()
    from ibisfront.front.daemon import main

    gc.freeze()
    gc.enable()
    main(start)


if __name__ == "__main__":
    _run()
