"""Connections of clients, and what they make the process hold."""
