"""Which service a caller's request goes to, and under which terms."""
