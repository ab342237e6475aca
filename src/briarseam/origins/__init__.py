"""Which software version began a stream, over all instances."""
