"""Discovery of peer instances through the store."""
