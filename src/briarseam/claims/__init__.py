"""At-most-once claims on idempotency keys, kept on the log."""
