"""Admission: which requests may run, where, and which are refused."""
