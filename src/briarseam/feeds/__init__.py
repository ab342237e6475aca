"""Followers of keyed topics in the platform's store."""
