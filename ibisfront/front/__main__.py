"""Runs the front daemon: ``python3 -m ibisfront.front``."""

from __future__ import annotations

import gc

# Nothing that is imported becomes garbage. Collections during the imports take a
# fifth of the start (0.26 to 0.21 s of processor time, 15 paired runs, together
# with the options of deploy/system.toml), in which callers find nobody.
gc.disable()

from ibisfront.front.daemon import main  # noqa: E402

if __name__ == "__main__":
    gc.freeze()
    gc.enable()
    main()
