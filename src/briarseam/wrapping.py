"""Lines for narrow terminals."""

from __future__ import annotations

import textwrap

NARROW_COLUMNS = 40
INDENT = "  "


def wrapped(text: str, indent: str) -> list[str]:
    """Return text broken to at most 40 columns; nothing is cut off."""
    return textwrap.wrap(
        text,
        NARROW_COLUMNS,
        initial_indent=indent,
        subsequent_indent=indent + INDENT,
        break_on_hyphens=False,
    )
