"""The other instances, coordinator selection, and network paths between zones."""
