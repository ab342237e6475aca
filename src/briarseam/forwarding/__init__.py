"""Passing callers' requests on to endpoints and their answers back."""
