"""HTTP clients of the log service and the instance list."""
