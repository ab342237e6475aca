"""Orders to engines: weight versions, adapters and roles."""
