"""The other instances, who gathers for whom, and the paths between zones."""
