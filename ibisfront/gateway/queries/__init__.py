"""Requests on their way: forwarded, gathered, delegated."""
