"""Primaries: announced targets, terms and changes of primary."""
