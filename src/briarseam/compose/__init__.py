"""Composition root: builds each daemon from its parts.

Agent and entry have a module each, so that an agent does not import the
entry's HTTP server.
"""
