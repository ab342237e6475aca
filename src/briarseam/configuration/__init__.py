"""Configuration: one stream of atomic changes, the same fold everywhere."""
