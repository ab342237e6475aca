"""Leases on the log: a single holder at a time, with fencing numbers."""
