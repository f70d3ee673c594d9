"""State read from the platform's store, and its relay between instances."""
