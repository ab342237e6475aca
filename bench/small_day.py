#!/usr/bin/env python3
"""Give a day of our own the small size of a site's standard days.

    python3 bench/small_day.py SITE DAY OUT

A day without a size of its own is played with all instances of a site, in
six minutes where the small size takes one.  The size stands in the table
``small`` of each standard day; OUT is the day with that table, to be played
by ``fleetbench run SITE OUT --small``.
"""

from __future__ import annotations

import pathlib
import sys
import tomllib

KEY = "small"


def small_size(site: str) -> str:
    """Return the line with the small size of a site's first standard day.

    Raises
    ------
    LookupError
        If the site's standard days have no small size.
    """
    for line in site.splitlines():
        name, separator, _value = line.partition("=")
        if separator and name.strip() == KEY:
            return line
    raise LookupError("the site's days have no small size")


def with_small_size(day: str, size: str) -> str:
    """Return a day with a small size, before its first table or list."""
    if KEY in tomllib.loads(day):
        raise ValueError("the day has a small size of its own")
    first, rest = day.split("\nplan = ", 1)
    return f"{first}\n{size}\nplan = {rest}"


def main() -> int:
    """Write the day; return the exit status."""
    site, day, out = (pathlib.Path(name) for name in sys.argv[1:4])
    text = with_small_size(day.read_text(), small_size(site.read_text()))
    tomllib.loads(text)
    out.write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
