"""Forwarding of callers' requests to endpoints."""
