"""Which endpoints this instance can connect to."""
