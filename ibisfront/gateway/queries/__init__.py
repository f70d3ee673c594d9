"""Execution of requests: forwarding, scatter-gather and delegation."""
