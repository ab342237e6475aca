"""Clients of the log and the instance list, in the project's own protocol."""
