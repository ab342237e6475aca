"""Fields of events: ids and counts, nothing else."""

from __future__ import annotations

import itertools
import math
import typing

if typing.TYPE_CHECKING:
    from briarseam.timeline import event as events

MAX_WORD = 96
MAX_FIELDS = 12
MAX_COUNT = 2**62


def clean(fields: dict[str, events.Scalar]) -> dict[str, events.Scalar]:
    """Return the fields with everything that is no id or count replaced.

    The dictionary is the caller's own and is changed in place: this runs
    for each note, and most notes have nothing to replace.
    """
    if len(fields) > MAX_FIELDS:
        fields = dict(itertools.islice(fields.items(), MAX_FIELDS))
    value: typing.Any
    for name, value in fields.items():
        kind = type(value)
        if kind is str and is_word(value):
            continue
        if kind is int and -MAX_COUNT < value < MAX_COUNT:
            continue
        fields[name] = clean_value(value)
    return fields


def is_word(text: str) -> bool:
    """Tell whether a text may be an id: short, and without white space."""
    return len(text) <= MAX_WORD and " " not in text and text.isprintable()


def clean_value(value: object) -> events.Scalar:
    """Return an id or count as it is, anything else as its length.

    A time line is read by operators of all teams.  A caller that notes a
    prompt, an answer or an error text quoting one would show an
    organisation's words there; ids have no white space and are short, so
    such a value shows as ``text:LENGTH``.
    """
    if isinstance(value, str):
        return str(value) if is_word(value) else f"text:{len(value)}"
    if isinstance(value, bool):
        return value
    if isinstance(value, float):
        # JSON has no word for these two, and the page is JSON.
        return value if math.isfinite(value) else str(value)
    if isinstance(value, int):
        return max(-MAX_COUNT, min(int(value), MAX_COUNT))
    return type(value).__name__
