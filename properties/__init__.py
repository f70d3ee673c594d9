"""Property tests: random sequences of events against invariants."""
