"""Authenticated msgpack streams between briarseam's own processes."""
