"""Valid settings of `briarseam serve`."""

from __future__ import annotations

VALID = """
[instance]
name = one
zone = a
region = north
[listen]
callers = 127.0.0.1:1
readiness = 127.0.0.1:2
lookups = 127.0.0.1:3
peers = 127.0.0.1:4
metrics = 127.0.0.1:5
[store]
address = 127.0.0.1:6
"""
