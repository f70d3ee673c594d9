"""Workspaces: whose key a request carries, and what follows from that."""
