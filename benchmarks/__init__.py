"""Benchmarks of the tier, with regression bounds.

``python -m benchmarks`` runs both users' deployments, scaled to one machine,
without and with each fault, and compares with the baseline policy.
"""
