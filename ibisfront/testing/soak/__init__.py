"""Randomized soak test of the front daemon: real processes under injected faults."""
