"""Prompts of a given length, the same for the same seed."""

from __future__ import annotations

import random

VOCABULARY = [
    "kitchen",
    "inspection",
    "temperature",
    "certificate",
    "renewal",
    "finding",
    "fridge",
    "log",
    "vessel",
    "turbine",
    "crew",
    "transfer",
    "swell",
    "harbour",
    "briefing",
    "pickup",
    "roster",
    "note",
]


def prompt(n: int, seed: int | str = 0) -> str:
    """Make a prompt.

    Parameters
    ----------
    n
        Its length in tokens.
    seed
        Prompts of other seeds differ from the first token on.

    Returns
    -------
    str
        The words, joined by single spaces.
    """
    if n <= 0:
        return ""
    chosen = random.Random(str(seed)).choices(VOCABULARY, k=n - 1)
    return " ".join([f"s{seed}", *chosen])
