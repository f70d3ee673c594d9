"""The edges: callers, backend servers, the platform and peers."""
