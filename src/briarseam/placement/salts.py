"""Texts under which parts are cached: model, weights, organisation."""

from __future__ import annotations

import dataclasses

# Versions stay below 2**53, as in the messages between instances.
MOST_DIGITS = 16


@dataclasses.dataclass(frozen=True)
class Salt:
    """What parts must have in common to be shared.

    Parts of an isolated organisation must not be found by another one, and
    parts that were made by other weights must not be found at all.

    Attributes
    ----------
    model, version
        Which weights made them.
    organisation
        Whose they are alone; empty for all others together.
    """

    model: str
    version: int
    organisation: str = ""

    def __str__(self) -> str:
        """Return the text that endpoints and stores see."""
        return f"{self.model}/{self.version}/{self.organisation}"


def parse(text: str) -> Salt | None:
    """Return the salt of a text, ``None`` if it is none of ours."""
    model, _, rest = text.partition("/")
    version, slash, organisation = rest.partition("/")
    # Others may save parts under texts of their own.  Beyond ASCII there are
    # digits that ``int`` does not read, and it reads no number of thousands
    # of digits.
    if not slash or not version.isascii() or not version.isdigit():
        return None
    if len(version) > MOST_DIGITS:
        return None
    return Salt(model, int(version), organisation)
