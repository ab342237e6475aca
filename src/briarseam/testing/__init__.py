"""Stand-ins for the platform and the endpoints, shipped with briarseam.

Each takes the place of one outside system in tests, the demo and the bench,
and speaks the protocol of ``docs/reference/stand-ins.md``.
"""
