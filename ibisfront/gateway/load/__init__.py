"""Load policies: retry budgets, cold-start limits, hedging, server choice."""
