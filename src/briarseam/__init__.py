"""briarseam: a serving system for prompts that return after long gaps."""
