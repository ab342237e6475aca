"""Load and experiments against a running deployment."""
