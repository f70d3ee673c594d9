"""Property tests: random sequences of events checked against invariants."""
