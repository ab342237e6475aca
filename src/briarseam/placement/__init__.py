"""Choosing the endpoint that will answer a request soonest."""
