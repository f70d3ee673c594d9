"""Runs the front daemon: ``python3 -m ibisfront.front``."""

from __future__ import annotations

import gc


def _run() -> None:
    """Start in the order in which callers wait least."""
    # Nothing that is imported becomes garbage, and callers find nobody during the
    # imports. Without collections, and with the options of deploy/system.toml and
    # the lean imports, they take 155 ms of processor time in place of 188 (medians
    # of 31 runs, benchmarks/start_cost).
    gc.disable()
    from ibisfront.front.early_start import start_early
    from ibisfront.front.lean_imports import stub_out_tls

    stub_out_tls()
    start = start_early()
    from ibisfront.front.daemon import main

    gc.freeze()
    gc.enable()
    main(start)


if __name__ == "__main__":
    _run()
