"""Authenticated msgpack messages between the processes of briarseam."""
