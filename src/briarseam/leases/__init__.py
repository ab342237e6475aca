"""Leases on the log: one holder at a time, with a fencing number."""
