"""Leases of entry hosts, and the leader's records of these hosts."""
