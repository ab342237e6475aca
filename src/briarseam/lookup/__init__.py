"""Lookup: which entry addresses a caller should use."""
