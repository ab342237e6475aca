"""The caller-facing HTTP edge of an entry process."""
