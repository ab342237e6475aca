"""What operators see of the agents: one row each, asked over the wire."""
