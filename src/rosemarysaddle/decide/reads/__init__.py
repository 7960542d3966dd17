"""Reads: freshness, session tokens and the choice of a replica."""
