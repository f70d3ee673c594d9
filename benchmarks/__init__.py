"""Measurements of the tier, with regression bounds.

``python -m benchmarks`` runs both users' deployments, scaled to one machine,
healthy and under each fault, beside the baseline policy.
"""
