"""Parsing of durations and sizes with units: ``250ms``, ``64KiB``."""

from __future__ import annotations

import decimal
import re

MS_PER_UNIT = {"ms": 1, "s": 1000, "m": 60_000, "h": 3_600_000}
BYTES_PER_UNIT = {"B": 1, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30}

QUANTITY = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)\s*([A-Za-z]*)", re.ASCII)


def duration_ms(text: str, bare_unit: str = "ms") -> int:
    """Return a duration in whole milliseconds.

    Parameters
    ----------
    text
        A number with one of the units ``ms``, ``s``, ``m``, ``h``.
    bare_unit
        Unit of a number that is written without one.

    Raises
    ------
    ValueError
        If the text is not a duration or not a whole number of milliseconds.
    """
    return parse_quantity(text, MS_PER_UNIT, bare_unit, "milliseconds")


def duration_s(text: str) -> float:
    """Return a duration in seconds; a number without a unit is seconds.

    Raises
    ------
    ValueError
        If the text is not a duration or not a whole number of milliseconds.
    """
    return duration_ms(text, bare_unit="s") / MS_PER_UNIT["s"]


def size_bytes(text: str) -> int:
    """Return a size in bytes; a number without a unit is bytes.

    Raises
    ------
    ValueError
        If the text is not a size or not a whole number of bytes.
    """
    return parse_quantity(text, BYTES_PER_UNIT, "B", "bytes")


def parse_quantity(
    text: str, factors: dict[str, int], bare_unit: str, base: str
) -> int:
    """Return a quantity as a whole number of its base unit."""
    match = QUANTITY.fullmatch(text.strip())
    if match is None:
        raise ValueError(f"a number with a unit ({', '.join(factors)})")
    unit = match[2] or bare_unit
    if unit not in factors:
        raise ValueError(f"one of the units {', '.join(factors)}")
    amount = decimal.Decimal(match[1]) * factors[unit]
    if amount != int(amount):
        raise ValueError(f"a whole number of {base}")
    return int(amount)
