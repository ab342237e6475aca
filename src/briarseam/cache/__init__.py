"""Kept cache: names, index and transfers of KV blocks."""
