"""Adapters to the platform: log, instance list and weight store."""
