"""Prediction of the time to first events, and of late answers."""
