"""Lookup of the entry addresses that a caller should use."""
