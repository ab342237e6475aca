"""Salts of cached parts: model, weight version and organisation."""

from __future__ import annotations

import dataclasses

# Versions are below 2**53, as in messages between instances.
MAX_VERSION_DIGITS = 16


@dataclasses.dataclass(frozen=True)
class Salt:
    """Values that requests must have in common to share cached parts.

    Parts of an isolated organisation must not be used by another one, and
    parts computed with other weights must not be used at all.

    Attributes
    ----------
    model, version
        Model and weight version that computed the parts.
    organisation
        The isolated organisation that owns the parts; empty for parts shared
        by all other organisations.
    """

    model: str
    version: int
    organisation: str = ""

    def __str__(self) -> str:
        """Return the encoded form that is sent to endpoints and stores."""
        return f"{self.model}/{self.version}/{self.organisation}"


def parse(text: str) -> Salt | None:
    """Parse an encoded salt; return ``None`` for another writer's text."""
    model, _, rest = text.partition("/")
    version, slash, organisation = rest.partition("/")
    # Other writers may use salts of another form.  ``int`` rejects some
    # non-ASCII digits, and numbers of thousands of digits.
    if not slash or not version.isascii() or not version.isdigit():
        return None
    if len(version) > MAX_VERSION_DIGITS:
        return None
    return Salt(model, int(version), organisation)
