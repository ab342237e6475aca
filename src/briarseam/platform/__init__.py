"""Adapter to the users' platform: names, formats and calls, no decisions.

Every name of the platform's wire stands in this package alone.  What comes
in is decoded once into the project's own types, and what goes out is
encoded from them.
"""
