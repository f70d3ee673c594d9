"""The other instances, who gathers for whom, and the ways between zones."""
