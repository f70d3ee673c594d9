"""The front daemon, which runs the gateway on the users' platform in one process."""
