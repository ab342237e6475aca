"""Routing: which endpoint runs a request."""
