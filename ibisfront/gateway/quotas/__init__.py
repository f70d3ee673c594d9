"""Rate limits of workspaces over all instances."""
