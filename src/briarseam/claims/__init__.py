"""At-most-once claims on idempotency keys, stored in the log."""
