"""Status of all agents for operators, queried over the wire protocol."""
