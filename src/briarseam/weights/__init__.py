"""Bringing engines to the weights that operators name."""
