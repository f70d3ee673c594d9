"""A randomized soak of the front daemon: real processes, faults from outside."""
