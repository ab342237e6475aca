"""The HTTP server of an entry process, which callers connect to."""
