"""Rollout of the weights that operators set to the engines."""
