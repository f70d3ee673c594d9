"""Forwarding and scatter-gather of callers' requests by a routed configuration."""
