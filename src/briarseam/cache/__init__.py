"""Kept cache: the names, the index and the transfers of KV blocks."""
