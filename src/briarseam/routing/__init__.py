"""Routing: chooses the endpoint that runs a request."""
