"""Answers: relaying, resuming and continuing an engine's stream."""
