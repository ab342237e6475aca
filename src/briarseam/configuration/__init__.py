"""Configuration: a stream of atomic changes that all agents fold alike."""
