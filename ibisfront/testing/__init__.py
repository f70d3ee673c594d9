"""Stand-ins and helpers for tests, public for use by others."""
