"""Decisions under load: budgets, cold servers, when to hedge, what is usual."""
