"""Adapter to the users' platform: names, formats and calls, no decisions.

The names of the platform's wire formats are defined in this package only.
Input is decoded once into the project's own types, and output is encoded
from them.
"""
