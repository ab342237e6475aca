"""Routing of callers' requests to services, and the limits that apply."""
